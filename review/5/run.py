"""DRAIN: a late report of a backend's earlier start comes after a cut in which
the later start could not report; then the later start drains."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab2"))
from mesh import configuration, now, route, run_case  # noqa: E402

DOWN_S = 0.5
CUT_S = 5.4  # node_cut of backends lasts 5.5 s at most
SHORT_CUT_S = 3.5
DRAIN_S = 2.0
CONTACT_S = 3.0  # after a cut a request isn't counted as late for so long
SERVES_ON_S = 10  # after the ack; "at times many seconds"
# Controls. One part alone: "crash", "cut"; "report" is crash and late report.
# All parts, but "short-cut" (no 5 s without a report), or "ready" (the later
# start reports once more before it drains).
ONLY = os.environ.get("ONLY", "")


async def play(mesh, trouble):
    routes = [route("sale", "/sale/", "oogstbeurs", "unsafe"),
              route("view", "/view/", "perceel", "safe", 1200, 400, 2, 2)]
    await mesh.start(["oogstbeurs"] * 7 + ["perceel"] * 2,
                     configuration(1, routes, ["oogstbeurs", "perceel"]),
                     work_s=0.16)
    await asyncio.sleep(9)  # the nodes have run for over 10 s
    end = now() + 25
    load = asyncio.gather(*[
        mesh.load(node, end, 0.05, "POST", "/sale/", b"one sale", 3000)
        for node in mesh.nodes for _ in range(9)])
    backend = mesh.nodes[0].backend
    backend.keeps_id = True
    await asyncio.sleep(3)
    late = backend.make_report()  # under way since before the crash
    sent = now()
    cut_ended = None
    mesh.record.note("report_sent", server=backend.instance,
                     born=backend.born, sequence=backend.sequence,
                     state=backend.state, late=True)
    if trouble and ONLY != "cut":
        backend.crash()
        await asyncio.sleep(DOWN_S)
        await backend.start_again()
        await asyncio.sleep(0.1)
    if trouble and ONLY not in ("crash", "report"):
        backend.uncut.clear()
        mesh.record.note("cut_begins", server=backend.instance)
        await asyncio.sleep(SHORT_CUT_S if ONLY == "short-cut" else CUT_S)
        backend.uncut.set()
        cut_ended = now()
        mesh.record.note("cut_ends", server=backend.instance)
    if trouble and ONLY not in ("crash", "cut"):
        status = await backend.post("heartbeat", late)
        mesh.record.note("late_report_arrives", server=backend.instance,
                         answered=status, after_s=round(now() - sent, 2))
    if trouble and ONLY == "ready":
        await backend.report()
    backend.beats.cancel()
    acked = await backend.drain()
    backend.beats = asyncio.create_task(backend.beat_loop())
    await asyncio.sleep(SERVES_ON_S)
    status = await backend.post(
        "deregister", b'{"born":%d}' % backend.born)
    mesh.record.note("deregistered", server=backend.instance, answered=status)
    await asyncio.sleep(0.2)
    backend.stop()
    await load
    sent_at = {each["id"]: each["sent"] for each in mesh.attempts}
    late_from = acked + DRAIN_S
    if cut_ended is not None:
        late_from = max(late_from, cut_ended + CONTACT_S)
    after = [each for each in mesh.arrivals
             if each["server"] == backend.instance
             and each["born"] == backend.born
             and each["how"] != "misdirected"
             and each["at"] > late_from]
    print(f"{len(after)} requests reached the draining backend later than "
          f"{late_from - acked:.1f} s after the ack")
    if not after:
        return []
    first = min(each["at"] for each in after) - acked
    last = max(each["at"] for each in after) - acked
    fresh = sum(sent_at[each["id"]] > late_from for each in after)
    return [f"{len(after)} requests, {fresh} of them sent by clients later "
            f"than that, reached the draining backend {first:.1f} to "
            f"{last:.1f} s after its draining was acknowledged"]


run_case(os.path.join(FOLDER, "record.txt"), play)
