"""GONE: clients that send each request on a connection of its own, with
Connection: close, leave before they are answered."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lab2"))
from mesh import configuration, now, route, run_case  # noqa: E402

LEAVE_S = 0.4  # under half of the aim of 1 s
SLACK_S = 0.5


async def play(mesh, trouble):
    routes = [route("view", "/view/", "perceel", "safe", 2400, 1000, 2, 2)]
    # Slow backends, so that the runs of those who leave would go on.
    await mesh.start(["perceel"] * 3,
                     configuration(1, routes, ["perceel"]), work_s=1.2,
                     slots=12)
    end = now() + 20
    close = {"Connection": "close"}
    load = []
    for node in mesh.nodes:
        for _ in range(8):  # they stay
            load.append(mesh.load(node, end, 0.1, "GET", "/view/",
                                  fields=close))
        if trouble:
            for _ in range(3):
                load.append(mesh.load(node, end, 0.5, "GET", "/view/",
                                      fields=close, leave_s=LEAVE_S))
    await asyncio.gather(*load)
    await asyncio.sleep(3)
    gone = {each["id"]: each["left"] for each in mesh.attempts
            if each["how"] == "left"}
    of_gone = [each for each in mesh.arrivals if each["id"] in gone]
    late = [each for each in of_gone
            if each["at"] > gone[each["id"]] + SLACK_S]
    # The runs that would have lasted so long: all, at 1.2 s of work.
    runs = [each for each in of_gone
            if each["ran"] and each["began"] <= gone[each["id"]] + SLACK_S]
    on = [each for each in runs if each["ended"] > gone[each["id"]] + SLACK_S]
    mesh.record.note("counted", left=len(gone), runs=len(runs),
                     still_at_work=len(on), arrived_late=len(late))
    print(f"{len(gone)} clients left, {len(runs)} of their requests ran, "
          f"{len(on)} were still worked on half a second later, {len(late)} "
          "reached a backend over half a second later")
    broken = []
    if runs and len(on) > len(runs) / 4:
        broken.append(f"backends still at work on {len(on)} of {len(runs)} "
                      "requests half a second after the client had closed")
    if len(late) > 10:
        broken.append(f"{len(late)} requests reached a backend over half a "
                      "second after the client had closed")
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), play)
