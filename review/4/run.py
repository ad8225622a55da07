"""ROUTE: a backend of another service gets the address of one that has ended,
and reports to the node there with its own service's name."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab2"))
from mesh import Backend, configuration, now, route, run_case  # noqa: E402

HANDED_OVER_AFTER_S = 2.5  # addrReuse is 2 s
# Controls: "ends" (nobody gets the address), "silent" (its new server reports
# to nobody).
ONLY = os.environ.get("ONLY", "")
OTHER = "graanmolen"  # a service that no configuration names


async def play(mesh, trouble):
    routes = [route("view", "/view/", "perceel", "safe", 1200, 400, 2, 2),
              route("plant", "/plant/", "perceel", "unsafe"),
              route("sale", "/sale/", "oogstbeurs", "unsafe")]
    await mesh.start(["perceel"] * 6 + ["oogstbeurs"] * 2,
                     configuration(1, routes, ["perceel", "oogstbeurs"]),
                     work_s=0.12)
    end = now() + 20
    load = []
    for node in mesh.nodes:
        for _ in range(6):
            load.append(mesh.load(node, end, 0.05, "GET", "/view/"))
        for _ in range(2):
            load.append(mesh.load(node, end, 0.05, "POST", "/plant/",
                                  b"one plot", 3000))
        load.append(mesh.load(node, end, 0.05, "POST", "/sale/", b"one sale",
                              3000))
    load = asyncio.gather(*load)
    await asyncio.sleep(2)
    if trouble:
        node = mesh.nodes[0]
        node.backend.stop()
        mesh.record.note("backend_ended", server=node.backend.instance,
                         address=node.address("app"))
    if trouble and ONLY != "ends":
        await asyncio.sleep(HANDED_OVER_AFTER_S)
        other = Backend(mesh, node, OTHER, work_s=0.12)
        other.instance = "i-other"
        await other.start(reports=ONLY != "silent")
        node.backend = other
        mesh.record.note("address_handed_over", server=other.instance,
                         service=OTHER, address=node.address("app"))
    await load
    print(sum(each["how"] == "misdirected" for each in mesh.arrivals),
          "requests were answered 421")
    wrong = [each for each in mesh.arrivals
             if each["ran"] and each["service"] == OTHER]
    if not wrong:
        return []
    ids = {each["id"] for each in wrong}
    answered = [each for each in mesh.attempts
                if each["id"] in ids and each["status"] == 200]
    unsafe = sum(each["method"] == "POST" for each in wrong)
    return [f"{len(wrong)} requests on routes to perceel, {unsafe} of them "
            f"unsafe, were run by service {OTHER}; {len(answered)} clients "
            "got its answer with status 200"]


run_case(os.path.join(FOLDER, "record.txt"), play)
