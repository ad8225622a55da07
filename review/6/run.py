"""Fault: uploads within the configuration's maxBodyBytes take a node over its
memory limit, so that the platform kills it."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "lab2"))
from mesh import SETTINGS, configuration, now, route, run_case  # noqa: E402

LARGE = 48 * 2 ** 20  # maxBodyBytes is 64 MiB
USUAL = 60000
AT_ONCE = 4  # uploads at each of the nodes that get some
ROUNDS = 5
# Control: "one-by-one" sends the same large bodies, never two at once.
ONLY = os.environ.get("ONLY", "")


async def play(mesh, trouble):
    routes = [route("photo", "/photo/", "schuur", "upload", 3000, 500, 2, 1),
              route("view", "/view/", "perceel", "safe", 1200, 400, 2, 2)]
    await mesh.start(["schuur"] * 3 + ["perceel"] * 3,
                     configuration(1, routes, ["schuur", "perceel"]),
                     work_s=0.14)
    limit_mb = SETTINGS["limits"]["memoryMb"]
    watch = [asyncio.create_task(node.limit_memory(limit_mb))
             for node in mesh.nodes]
    body = os.urandom(LARGE if trouble else USUAL)
    end = now() + ROUNDS * 8
    small = asyncio.gather(*[
        mesh.load(node, end, 0.1, "GET", "/view/")
        for node in mesh.nodes for _ in range(2)])
    for _ in range(ROUNDS):
        uploads = [mesh.attempt(node, "POST", "/photo/", body, 3000)
                   for node in mesh.nodes[:3] for _ in range(AT_ONCE)]
        if ONLY == "one-by-one":
            for each in uploads:
                await each
        else:
            await asyncio.gather(*uploads)
        await asyncio.gather(*[node.wait_ready() for node in mesh.nodes])
        await asyncio.sleep(3.5)  # two reports of each backend
    await small
    await asyncio.sleep(2)  # a start that is under way ends
    for each in watch:
        each.cancel()
    for node in mesh.nodes:
        mesh.record.note("ends_by_memory", node=node.name,
                         times=node.over_memory)
    often = [node.name for node in mesh.nodes if node.over_memory >= 3]
    uploads = [each for each in mesh.attempts if each["method"] == "POST"]
    served = sum(each["status"] == 200 for each in uploads)
    views = [each for each in mesh.attempts if each["method"] == "GET"]
    cut = sum(each["status"] is None for each in views)
    print(f"uploads: {len(uploads)}, {served} served; views: {len(views)}, "
          f"{cut} without an answer; ends by memory: "
          f"{[node.over_memory for node in mesh.nodes]}")
    if len(often) >= max(2, len(mesh.nodes) / 10):
        return [f"the processes of {', '.join(often)} went over {limit_mb} MB "
                "three times or more each and were killed"]
    return []


run_case(os.path.join(FOLDER, "record.txt"), play)
