"""A small deployment on loopback addresses: real nodes, started as the deploy
file says, between stand-ins of the platform's store, of backends and of
clients. The stand-ins follow the users' pages; where a page is silent they
behave like a sound server or client."""

import asyncio
import base64
import hashlib
import json
import os
import re
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
HOST = "farm.example"


def now():
    return time.monotonic()


class Record:
    """Events in order, with seconds since the start; written to record.txt."""

    def __init__(self, path):
        self.start = now()
        self.path = path
        self.events = []

    def note(self, what, at=None, **fields):
        parts = " ".join(f"{name}={value}" for name, value in fields.items())
        at = (now() if at is None else at) - self.start
        self.events.append((at, f"{at:8.3f} {what} {parts}".rstrip()))

    def write(self):
        self.events.sort(key=lambda event: event[0])
        with open(self.path, "w", encoding="utf-8") as file:
            file.writelines(line + "\n" for _, line in self.events)


class Message:
    """An HTTP/1.1 message without its body's framing."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    def get(self, name, default=""):
        return self.fields.get(name.lower(), default)


async def read_message(reader, to_head=False, on_head=None):
    """Reads one message; None if the connection ended before it began."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as ended:
        if not ended.partial:
            return None
        raise
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    message = Message(lines[0].split(" ", 2), fields, b"")
    if on_head is not None:
        on_head(message)
    if fields.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            piece = await reader.readexactly(size + 2)
            message.body += piece[:-2]
            if size == 0:
                break
    elif "content-length" in fields and not to_head:
        message.body = await reader.readexactly(int(fields["content-length"]))
    return message


def build(first, fields, body=b"", framed=True):
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found",
           410: "Gone", 412: "Precondition Failed",
           421: "Misdirected Request", 500: "Internal Server Error",
           503: "Service Unavailable", 504: "Gateway Timeout"}


def response(status, fields=None, body=b""):
    reason = REASONS.get(status, "Status")
    return build(f"HTTP/1.1 {status} {reason}", fields or {}, body)


class Store:
    """The platform's metadata store: rows with one counter of versions."""

    def __init__(self, tx_s=0.008, read_s=0.004):
        self.rows = {}
        self.changes = []
        self.revision = 0
        self.tx_s = tx_s
        self.read_s = read_s
        self.changed = asyncio.Event()
        self.server = None
        self.address = None
        self.down = False  # 503: nothing was done
        self.turned_away = set()  # IP addresses that get 503

    async def start(self):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=2 ** 20)
        host, port = self.server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def put(self, table, part, key, value):
        self.revision += 1
        name = (table, part, key)
        self.rows[name] = (value, self.revision)
        self.changes.append((self.revision, name, value))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    def remove(self, name):
        self.revision += 1
        self.rows.pop(name, None)
        self.changes.append((self.revision, name, None))
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    @staticmethod
    def row(name, value, revision):
        table, part, key = name
        return {"table": table, "part": part, "key": key,
                "value": base64.b64encode(value).decode(), "ver": revision}

    async def serve(self, reader, writer):
        peer = writer.get_extra_info("peername")[0]
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                if self.down or peer in self.turned_away:
                    writer.write(response(503))
                    continue
                status, body = await self.answer(message)
                body["now"] = int(now() * 1000)
                writer.write(response(
                    status, {"Content-Type": "application/json"},
                    json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, message):
        path, _, query = message.first[1].partition("?")
        given = {key: values[0] for key, values in urllib.parse.parse_qs(
            query, keep_blank_values=True).items()}
        if path == "/rows-get":
            await asyncio.sleep(self.read_s)
            start, end = given.get("from", ""), given.get("targetVersion")
            found = [self.row(name, *kept)
                     for name, kept in sorted(self.rows.items())
                     if name[0] == given["table"]
                     and name[1] == given.get("part", "")
                     and name[2] >= start
                     and (not end or name[2] < end)]
            return 200, {"rows": found[:500], "morePages": len(found) > 500,
                         "ver": self.revision}
        if path == "/rows-feed":
            until = now() + int(given.get("waitMs", 0)) / 1000
            while True:
                after = int(given.get("after", 0))
                rows = []
                for revision, name, value in self.changes:
                    if revision > after and name[0] == given["table"]:
                        row = self.row(name, value or b"", revision)
                        if value is None:
                            row["tombstone"] = True
                        rows.append(row)
                left = until - now()
                if rows or left <= 0 or self.down:
                    break
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
            await asyncio.sleep(self.read_s)
            if self.down:
                return 503, {}
            return 200, {"rows": rows, "ver": self.revision}
        if path == "/rows-tx":
            await asyncio.sleep(self.tx_s)
            body = json.loads(message.body)
            holds, current = True, []
            for each in body.get("expectedRevision", []):
                name = (each["table"], each.get("part", ""), each["key"])
                kept = self.rows.get(name)
                holds &= (kept[1] if kept else 0) == each["ver"]
                if kept:
                    current.append(self.row(name, *kept))
            if not holds:
                return 412, {"rows": current, "ver": self.revision}
            for each in body.get("puts", []):
                self.put(each["table"], each.get("part", ""), each["key"],
                         base64.b64decode(each["value"]))
            for each in body.get("remove", []):
                self.remove((each["table"], each.get("part", ""),
                             each["key"]))
            return 200, {"ver": self.revision}
        return 404, {}


def digest_of(body):
    """Of a long body its begin and its length: hashing it would hold up all
    stand-ins."""
    if len(body) > 2 ** 20:
        body = body[:2 ** 16] + str(len(body)).encode()
    return hashlib.sha1(body).hexdigest()


def seal_of(instance, request_id, body):
    digest = hashlib.sha1(body + request_id.encode()).hexdigest()[:8]
    return f"{instance}.{len(body)}.{digest}"


class Backend:
    """A backend beside a node: works on `slots` requests at once, queues a
    few more, drops a request when its connection closes."""

    def __init__(self, mesh, node, service, slots=12, queue=48, work_s=0.1):
        self.mesh = mesh
        self.node = node
        self.service = service
        self.slots = slots
        self.queue = queue
        self.work_s = work_s  # a number, or a function of the message
        self.reports_load = True
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.boots = 0
        self.keeps_id = False
        self.state = "ready"
        self.beats = None
        self.sequence = 0
        self.server = None
        self.writers = set()
        self.answer_hook = None  # may send an answer of its own
        self.uncut = asyncio.Event()  # cleared: cut off, its bytes are held
        self.uncut.set()
        self.acked = {}
        self.boot()

    def boot(self):
        """A new start, under a new id unless it keeps its own."""
        self.boots += 1
        if not self.keeps_id or self.boots == 1:
            self.instance = f"i-{self.node.name}-{self.boots}"
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"

    async def start(self, reports=True):
        self.server = await asyncio.start_server(
            self.serve, self.node.ip, self.node.ports["app"],
            reuse_address=True, limit=2 ** 20)
        if reports:
            self.beats = asyncio.create_task(self.beat_loop())

    async def beat_loop(self):
        while True:
            try:
                if self.uncut.is_set():
                    await self.report()
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(1.5)

    async def report(self):
        return await self.post("heartbeat", self.make_report())

    def make_report(self):
        self.sequence += 1
        return json.dumps({
            "service": self.service, "address": self.node.address("app"),
            "zone": self.node.zone, "version": "v1", "slots": self.slots,
            "state": self.state, "coldRemaining": 0, "born": self.born,
            "sequence": self.sequence}).encode()

    async def post(self, what, body):
        async def exchange():
            reader, writer = await asyncio.open_connection(
                self.node.ip, self.node.ports["control"])
            try:
                writer.write(build(
                    f"POST /instances/{self.instance}/{what} HTTP/1.1",
                    {"Host": self.node.address("control"),
                     "Content-Type": "application/json"}, body))
                answer = await read_message(reader)
                return int(answer.first[1]) if answer else 0
            finally:
                writer.close()
        return await asyncio.wait_for(exchange(), 1.0)

    async def drain(self):
        """Says that it drains until that is acknowledged. Returns the time of
        the ack."""
        self.state = "draining"
        while True:
            try:
                if await self.report() // 100 == 2:
                    self.acked[self.instance] = now()
                    self.mesh.record.note("drain_acked", server=self.instance)
                    return now()
            except (OSError, asyncio.TimeoutError,
                    asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.1)

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                await self.uncut.wait()
                if not await self.serve_one(message, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def serve_one(self, message, reader, writer):
        request_id = message.get("x-request-attempt-id")
        fields = {"X-Instance-Id": self.instance}
        if self.reports_load:
            fields["X-Backend-Load"] = self.load()
        if message.first[1] == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(response(status, fields))
            return True
        fields["X-Request-Attempt-Id"] = request_id
        expected = message.get("x-expect-instance")
        seen = {"id": request_id, "server": self.instance,
                "born": self.born, "service": self.service, "at": now(), "path": message.first[1],
                "method": message.first[0],
                "caller": message.get("x-caller-service"),
                "body": digest_of(message.body),
                "left": message.get("x-deadline-ms"), "ran": False,
                "began": None, "ended": None, "how": "refused"}
        self.mesh.arrivals.append(seen)
        if expected and expected != self.instance:
            seen["how"] = "misdirected"
            writer.write(response(421, fields))
            return True
        if self.running >= self.slots and self.waiting >= self.queue:
            fields["X-Not-Executed"] = "1"
            writer.write(response(503, fields))
            return True
        work = asyncio.create_task(self.work(message, seen))
        gone = asyncio.create_task(self.watch_close(reader))
        await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
        if not work.done():
            # The connection closed (callers send one request at a time here).
            work.cancel()
            try:
                await work
            except asyncio.CancelledError:
                pass
            seen["how"] = "dropped"
            seen["ended"] = now()
            return False
        gone.cancel()
        try:
            await gone
        except asyncio.CancelledError:
            pass
        if self.reports_load:
            fields["X-Backend-Load"] = self.load()
        status, body = work.result()
        seen["ended"] = now()
        await self.uncut.wait()
        seen["how"] = f"answered_{status}"
        if self.answer_hook is not None:
            done = await self.answer_hook(self, message, seen, fields, body,
                                          writer)
            if done is not None:
                return done
        if status == 200:
            fields["X-Response-Seal"] = seal_of(self.instance, request_id,
                                                body)
        if self.state != "ready":
            fields["Connection"] = "close"
        else:
            fields["Keep-Alive"] = "timeout=10"
        writer.write(response(status, fields, body))
        await writer.drain()
        return self.state == "ready"

    @staticmethod
    async def watch_close(reader):
        try:
            await reader.read(1)
        except ConnectionError:
            pass

    async def work(self, message, seen):
        self.waiting += 1
        try:
            async with self.free:
                while self.running >= self.slots:
                    await self.free.wait()
                self.running += 1
        finally:
            self.waiting -= 1
        try:
            seen["ran"] = True
            seen["began"] = now()
            span = self.work_s(message) if callable(self.work_s) \
                else self.work_s
            left = message.get("x-deadline-ms")
            limit = seen["at"] + int(left) / 1000 - now() if left else 60
            await asyncio.sleep(min(span, max(limit, 0)))
            if span > limit:
                return 504, b""
            body = (f"{self.service} {seen['path']} {seen['id']} "
                    f"{seen['body']} ").encode()
            return 200, body + b"." * 900
        finally:
            async with self.free:
                self.running -= 1
                self.free.notify()

    def crash(self):
        """Ends without a word; its connections are reset."""
        self.mesh.record.note("crash", server=self.instance, born=self.born)
        self.stop()

    async def start_again(self):
        self.boot()
        self.running = self.waiting = 0
        self.free = asyncio.Condition()
        self.mesh.record.note("start_again", server=self.instance,
                              born=self.born)
        await self.start()

    def stop(self):
        if self.beats:
            self.beats.cancel()
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()


def free_ports(ip, count):
    held = []
    for _ in range(count):
        each = socket.socket()
        each.bind((ip, 0))
        held.append(each)
    ports = [each.getsockname()[1] for each in held]
    for each in held:
        each.close()
    return ports


def render(template, values):
    """Fills in the platform's template: the forms that deploy/settings.yaml
    uses."""
    def value_of(path):
        at = values
        for name in path.split("."):
            at = at[int(name)] if isinstance(at, list) else at.get(name)
            if at is None:
                return ""
        return at

    def section(match):
        found = value_of(match.group(1))
        if found in ("", None, False):
            return ""
        return match.group(2).replace("{{.}}", str(found))

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template,
                  flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}",
                  lambda match: str(value_of(match.group(1))), text)


class Node:
    def __init__(self, mesh, name, ip, zone, service):
        self.mesh = mesh
        self.name = name
        self.ip = ip
        self.zone = zone
        self.service = service
        names = ("rpc", "peer", "outbound", "control", "ready", "app")
        self.ports = dict(zip(names, free_ports(ip, len(names))))
        self.process = None
        self.starts = 0
        self.over_memory = 0
        self.backend = None
        self.exited = []
        self.watcher = None

    def address(self, name):
        return f"{self.ip}:{self.ports[name]}"

    def write_settings(self):
        values = dict(self.mesh.settings)
        values.update({
            "ip": self.ip, "zone": self.zone, "region": "nl-west",
            "internalPortRange": [self.ports["rpc"], self.ports["peer"]],
            "listenAddrs": {"outbound": self.address("outbound"),
                            "control": self.address("control"),
                            "ready": self.address("ready")},
            "service": self.service, "appAddr": self.address("app"),
            "platform": {"address": self.mesh.store.address,
                         "partWritesPerS": 150}})
        with open(os.path.join(ROOT, "deploy", "settings.yaml"),
                  encoding="utf-8") as file:
            text = render(file.read(), values)
        self.settings = os.path.join(self.mesh.folder, self.name + ".yaml")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(text)

    async def start(self):
        self.write_settings()
        self.starts += 1
        log = open(os.path.join(self.mesh.folder, self.name + ".log"), "ab")
        # As in deploy/system.toml, but for the place of the settings file.
        self.process = await asyncio.create_subprocess_exec(
            "target/tillerhall-node", "--config", self.settings, cwd=ROOT,
            stdout=log, stderr=log)
        log.close()
        self.mesh.processes.append(self.process)
        if self.mesh.stopped:
            self.process.kill()
        self.mesh.record.note("node_started", node=self.name)
        self.watcher = asyncio.create_task(self.watch(self.process))

    async def watch(self, process):
        code = await process.wait()
        self.exited.append((now(), code))
        self.mesh.record.note("node_exited", node=self.name, code=code)

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)
            self.mesh.record.note("signal", node=self.name,
                                  signal=signal.Signals(number).name)

    async def wait_exit(self, limit):
        try:
            await asyncio.wait_for(self.process.wait(), limit)
        except asyncio.TimeoutError:
            self.signal(signal.SIGKILL)
            await self.process.wait()

    def memory_mb(self):
        """Resident memory, 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/statm",
                      encoding="utf-8") as file:
                pages = int(file.read().split()[1])
        except (OSError, IndexError):
            return 0
        return pages * os.sysconf("SC_PAGE_SIZE") / 2 ** 20

    async def limit_memory(self, limit_mb, restart_s=0.5):
        """As the platform does: kills a process that goes over its limit and
        starts it again after a short delay."""
        while True:
            used = self.memory_mb() if self.process.returncode is None else 0
            if used > limit_mb:
                self.mesh.record.note("over_memory", node=self.name,
                                      mb=round(used))
                self.over_memory += 1
                self.signal(signal.SIGKILL)
                await self.process.wait()
                await asyncio.sleep(restart_s)
                await self.start()
            await asyncio.sleep(0.02)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(
                self.ip, self.ports["ready"])
            writer.write(b"GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n")
            answer = await asyncio.wait_for(read_message(reader), 1)
            writer.close()
            return answer is not None and answer.first[1] == "200"
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def wait_ready(self, limit=15):
        until = now() + limit
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False


ZONES = ("polder-a", "polder-b", "polder-c")

# The bounds of the akkerbond-mesh deployment.
SETTINGS = {
    "bounds": {"grace": 6, "retryBudgetRatio": 0.2, "budgetExtra": 62,
               "budgetWindow": 10},
    "limits": {"linkMbps": 1000, "memoryMb": 260}}


def route(name, prefix, service, kind="safe", timeout=1500, target=500,
          attempts=2, priority=1, split=None):
    made = {"name": name, "host": HOST, "pathPrefix": prefix, "kind": kind,
            "timeout": timeout, "targetLatency": target,
            "priority": priority, "maxAttempts": attempts}
    if split:
        made["trafficSplit"] = split
    else:
        made["service"] = service
    return made


def configuration(version, routes, services, health="/health",
                  max_body=67108864):
    return json.dumps({
        "version": version, "routes": routes,
        "services": [{"name": name, "healthCheckPath": health}
                     for name in services],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body,
                   "headerTimeout": 3000, "idleTimeout": 15000}}).encode()


class Mesh:
    def __init__(self, record_path):
        self.record = Record(record_path)
        self.folder = tempfile.mkdtemp(prefix="tillerhall-review-")
        self.settings = SETTINGS
        self.store = Store()
        self.nodes = []
        self.processes = []
        self.stopped = False
        self.arrivals = []
        self.attempts = []
        self.ids = 0

    def add_node(self, service, zone=None):
        index = len(self.nodes)
        node = Node(self, f"n{index}", f"127.0.71.{index + 1}",
                    zone or ZONES[index % len(ZONES)], service)
        self.nodes.append(node)
        return node

    async def start(self, services, config, work_s=0.1, slots=12):
        await self.store.start()
        self.store.put("op", "", "config", config)
        for service in services:
            node = self.add_node(service)
            node.backend = Backend(self, node, service, slots=slots,
                                   work_s=work_s)
        for node in self.nodes:
            await node.backend.start()
            await node.start()
        ready = await asyncio.gather(*[node.wait_ready()
                                       for node in self.nodes])
        if not all(ready):
            raise RuntimeError("a node did not become ready")
        await asyncio.sleep(3)  # two reports of each backend
        self.record.note("ready")

    async def attempt(self, node, method, path, body=b"", left_ms=2500,
                      leave_s=None, fields=None):
        """Sends one request on a connection of its own. With `leave_s` the
        client closes it after that time. Returns what the client saw."""
        request_id = self.new_id()
        seen = {"id": request_id, "node": node, "method": method,
                "path": path + request_id, "sent": now(), "status": None,
                "seal": "", "left": None,
                "body": digest_of(body)}
        self.attempts.append(seen)
        head = {"Host": HOST, "X-Request-Attempt-Id": request_id,
                "X-Deadline-Ms": str(left_ms)}
        head.update(fields or {})
        writer = None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(
                node.ip, node.ports["outbound"], limit=2 ** 20), 1)
            seen["sent"] = now()
            writer.write(build(f"{method} {seen['path']} HTTP/1.1", head,
                               body, framed=bool(body)))
            answer = await asyncio.wait_for(
                read_message(reader, method == "HEAD"),
                leave_s or left_ms / 1000 + 1)
            if answer is None:
                seen["how"] = "closed_without_answer"
            else:
                seen["how"] = "answered"
                seen["status"] = int(answer.first[1])
                seen["seal"] = answer.get("x-response-seal")
                seen["answer"] = answer.body
        except asyncio.TimeoutError:
            seen["how"] = "left" if leave_s else "no_answer"
        except (OSError, asyncio.IncompleteReadError) as failed:
            seen["how"] = type(failed).__name__
        if writer is not None:
            writer.close()
        seen["left"] = now()
        return seen

    async def load(self, node, until, pause_s, *args, **more):
        """Sends one request after the other until then."""
        while now() < until:
            await self.attempt(node, *args, **more)
            await asyncio.sleep(pause_s)

    def write_record(self):
        for each in self.attempts:
            self.record.note("sent", each["sent"], id=each["id"],
                             node=each["node"].name, method=each["method"],
                             path=each["path"])
            self.record.note("client", each["left"] or now(), id=each["id"],
                             how=each.get("how"), status=each["status"],
                             seal=each["seal"] or "-")
        for each in self.arrivals:
            self.record.note("arrived", each["at"], id=each["id"],
                             server=each["server"], service=each["service"],
                             caller=each["caller"])
            if each["ran"]:
                self.record.note("run", each["began"], id=each["id"],
                                 server=each["server"],
                                 service=each["service"])
                self.record.note("run_ended", each["ended"] or now(),
                                 id=each["id"], how=each["how"])
        self.record.write()

    def new_id(self):
        self.ids += 1
        return f"a{self.ids:07x}"

    async def stop(self):
        """Ends all processes that it has started, also those of a start that
        was cut off."""
        self.stopped = True
        for process in self.processes:
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes:
            await process.wait()
        for node in self.nodes:
            if node.backend:
                node.backend.stop()
        if self.store.server:
            self.store.server.close()

    def remove_files(self):
        for name in os.listdir(self.folder):
            os.unlink(os.path.join(self.folder, name))
        os.rmdir(self.folder)

    def runs_of(self, request_id):
        return [each for each in self.arrivals
                if each["id"] == request_id and each["ran"]]


HELD, BROKEN, NOT_RUN = 0, 1, 2
RUN_LIMIT_S = 110


def run_case(record_path, play):
    """Plays a case, writes its record and exits with its result.
    `play(mesh, trouble)` returns the sentences that say how the rule was
    broken."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main():
        asyncio.get_running_loop().set_exception_handler(
            lambda loop, context: None)  # connections that break on purpose
        mesh = Mesh(record_path)
        mesh.record.note("begin", trouble=int(trouble),
                         only=os.environ.get("ONLY") or "-")
        broken = []
        try:
            broken = await asyncio.wait_for(play(mesh, trouble), RUN_LIMIT_S)
        except Exception as failed:
            mesh.record.note("could_not_run", why=repr(failed))
            raise
        finally:
            await mesh.stop()
            mesh.remove_files()
            for each in broken:
                mesh.record.note("broken", why=each)
            mesh.write_record()
        for each in broken:
            print("broken:", each)
        if not broken:
            print("the rule held")
        return BROKEN if broken else HELD

    try:
        code = asyncio.run(main())
    except Exception as failed:  # whatever it is, the case could not run
        print("could not run:", repr(failed))
        code = NOT_RUN
    sys.exit(code)
