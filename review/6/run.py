"""GONE: clients that send each request on a connection of its own, with
Connection: close, leave before they are answered."""

import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)),
                                "..", "lab2"))
from mesh import configuration, route, run_case  # noqa: E402

ROUNDS = 14
SLOTS = 8  # of each backend
AT_ONCE = 16  # requests at each node in a round, every second one unsafe
LEAVING = 4  # of them: a quarter
LEAVE_S = 0.15
SLACK_S = 0.5
FEW = 10


async def play(mesh, trouble):
    routes = [route("view", "/view/", "perceel", "safe", 2400, 2000, 2, 2),
              route("sale", "/sale/", "perceel", "unsafe", 2400, 2000, 2, 1)]
    await mesh.start(["perceel"] * 3,
                     configuration(1, routes, ["perceel"]), work_s=0.7,
                     slots=SLOTS)
    close = {"Connection": "close"}
    for _ in range(ROUNDS):
        clients = []
        for node in mesh.nodes:
            for i in range(AT_ONCE):
                leaves = trouble and SLOTS <= i < SLOTS + LEAVING
                sent = ("POST", "/sale/", b"one sale") if i % 2 else \
                    ("GET", "/view/", b"")
                clients.append(mesh.attempt(
                    node, *sent, 2500, LEAVE_S if leaves else None, close))
        await asyncio.gather(*clients)
        await asyncio.sleep(1)
    await asyncio.sleep(2)
    gone = {each["id"]: each["left"] for each in mesh.attempts
            if each["how"] == "left"}
    of_gone = [each for each in mesh.arrivals if each["id"] in gone]
    late = [each for each in of_gone
            if each["at"] > gone[each["id"]] + SLACK_S]
    unsafe = sum(each["method"] == "POST" for each in late)
    # Idempotent runs; all would have lasted so long, at 0.7 s of work.
    runs = [each for each in of_gone if each["ran"] and each["method"] == "GET"
            and each["began"] <= gone[each["id"]]]
    on = [each for each in runs if each["ended"] > gone[each["id"]] + SLACK_S]
    print(f"{len(gone)} clients left; {len(late)} of their requests, {unsafe} "
          "of them unsafe, reached a backend over half a second later; "
          f"{len(on)} of {len(runs)} safe runs were still worked on then")
    broken = []
    if len(late) > FEW:
        broken.append(f"{len(late)} requests, {unsafe} of them unsafe, reached "
                      "a backend over half a second after their client had "
                      "closed its connection")
    if runs and len(on) > len(runs) / 4:
        broken.append(f"backends still at work on {len(on)} of {len(runs)} "
                      "idempotent requests half a second after their client "
                      "had closed its connection")
    return broken


run_case(os.path.dirname(os.path.abspath(__file__)), play)
