"""Stand-ins of the platform's store, of workers and of callers for the cases
of review 3, after PROTOCOL.md. All addresses are loopback addresses."""
import asyncio
import base64
import json
import os
import signal
import sys
import tempfile
import time
import urllib.parse

REPOSITORY = os.path.dirname(os.path.dirname(os.path.dirname(
    os.path.abspath(__file__))))
PROGRAM = "target/bin/vanillayardd"
POOL = "pool"
KEY = "key-of-tenant"
HOST_NAME = "yard.example"
PREFIX = "/renders/"


class Record:
    """Writes record.txt: what was sent, answered and run, with its time."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.began = time.monotonic()

    def now(self):
        return time.monotonic() - self.began

    def __call__(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class Dropped(Exception):
    """The server gives no answer and leaves the connection open."""


class Reset(Exception):
    """The server closes the connection without an answer."""


class HttpServer:
    """HTTP/1.1 with keep-alive. handle(method, path, query, headers, body)
    returns (status, document or None)."""

    def __init__(self, handle):
        self.handle = handle
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", port, limit=1 << 26)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        return self

    def close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(
                    int(headers.get("content-length", "0")))
                path, _, text = target.partition("?")
                query = dict(urllib.parse.parse_qsl(text))
                try:
                    status, out = await self.handle(
                        method, path, query, headers, body)
                except Dropped:
                    await reader.read()
                    return
                except Reset:
                    return
                payload = b"" if out is None else json.dumps(out).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode() + payload)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Store:
    """The platform's metadata store."""

    PAGE = 500

    def __init__(self):
        self.items = {}  # key -> (value, revision, created, lease)
        self.revision = 100
        self.history = []  # (revision, event)
        self.leases = {}  # id -> [time to live in s, end]
        self.next_lease = 1
        self.changed = asyncio.Event()
        self.commits = []  # callbacks(puts)

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        self.revision += 1
        self.write(key, value, lease)
        self.wake()

    def write(self, key, value, lease=0):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (value, self.revision, created, lease)
        self.history.append((self.revision, self.row(key)))

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.history.append((self.revision, {
                "key": key, "revision": self.revision, "deleted": True}))

    def row(self, key):
        value, revision, created, lease = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(),
                "revision": revision, "created": created, "lease": lease}

    def text(self, key):
        return self.items[key][0].decode() if key in self.items else None

    def expire(self):
        now = time.monotonic()
        for lease, (_, end) in list(self.leases.items()):
            if end <= now:
                self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.wake()

    async def expire_always(self):
        while True:
            self.expire()
            await asyncio.sleep(0.02)

    async def handle(self, method, path, query, headers, body):
        self.expire()
        name = path.removeprefix("/vanillayard/")
        if name == "kv-key":
            key = query["key"]
            if key not in self.items:
                return 404, {"current-rev": self.revision}
            return 200, {**self.row(key), "current-rev": self.revision}
        if name == "kv-range":
            keys = sorted(k for k in self.items
                          if k.startswith(query["prefix"])
                          and k > query.get("after", ""))
            return 200, {"items": [self.row(k) for k in keys[:self.PAGE]],
                         "has-more": len(keys) > self.PAGE,
                         "current-rev": self.revision}
        if name == "kv-watch":
            return await self.watch(query)
        if name == "kv-txn":
            return self.commit(json.loads(body))
        if name == "kv-lease":
            ttl = json.loads(body)["ttl-ms"]
            lease = self.next_lease
            self.next_lease += 1
            self.leases[lease] = [ttl / 1000, time.monotonic() + ttl / 1000]
            return 200, {"lease": lease, "ttl-ms": ttl}
        verb, _, number = name.partition("/")
        lease = int(number) if number.isdigit() else 0
        if lease not in self.leases:
            return 404, None
        if verb == "kv-keep":
            self.leases[lease][1] = time.monotonic() + self.leases[lease][0]
            return 200, {}
        if verb == "kv-lease-end":
            self.end_lease(lease)
            return 200, {}
        return 404, None

    async def watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        end = time.monotonic() + int(query["wait-ms"]) / 1000
        while True:
            events = [e for r, e in self.history
                      if r > after and e["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, call):
        expected = call.get("expected-revision", [])
        puts, removes = call.get("puts", []), call.get("remove", [])
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, None
        if any(p["key"].startswith(("op/", "servers/")) for p in puts):
            return 403, None
        for row in expected:
            found = self.items.get(row["key"])
            if (found[1] if found else 0) != row["revision"]:
                return 412, {"items": [self.row(r["key"]) for r in expected
                                       if r["key"] in self.items]}
        if any(p.get("lease", 0) and p["lease"] not in self.leases
               for p in puts):
            return 404, None
        self.revision += 1
        for row in puts:
            self.write(row["key"], base64.b64decode(row["value"]),
                       row.get("lease", 0))
        for key in removes:
            self.remove(key)
        self.wake()
        for callback in self.commits:
            callback(puts)
        return 200, {"revision": self.revision}


class Worker:
    """One worker. A restart keeps its id and address, as PROTOCOL.md allows,
    and forgets everything else."""

    HOLD_MAX = 6.0
    STOP_TIME = 0.2

    def __init__(self, name, rack, record, work, gpu=8):
        self.name, self.rack, self.record = name, rack, record
        self.work = work  # task -> seconds
        self.gpu = gpu
        self.kind = "a"
        self.clock_ahead = 0.0  # of its time of day, in s
        self.log = []  # [task, run, began, ended, how]
        self.state = "ready"
        self.begin_life()

    def begin_life(self):
        self.born = int((time.time() + self.clock_ahead) * 1000)
        self.began = time.monotonic()
        self.fence = 0
        self.until = 0.0
        self.running = {}  # task -> entry of log
        self.ended_runs = {}  # task -> highest run ended or stopped
        self.finished = []
        self.sequence = 0
        self.seen = 0
        self.event = asyncio.Event()

    async def start(self):
        self.server = await HttpServer(self.handle).start()
        self.address = self.server.address
        return self

    def clock(self):
        return int((time.monotonic() - self.began) * 1000)

    def registration(self):
        return json.dumps({
            "service": POOL, "address": self.address, "zone": "z1",
            "version": "v1", "slots": 8, "state": self.state,
            "cold-remaining-ms": 0, "sequence": self.clock(),
            "born": self.born, "clock-ms": self.clock(),
            "capacity": {"cpu": 128000, "mem-mb": 262144, "gpu": self.gpu},
            "labels": [self.kind, self.rack]}).encode()

    def restart(self):
        self.record(f"worker {self.name} crashes and starts again")
        for task in list(self.running):
            entry = self.running.pop(task)
            entry[3], entry[4] = time.monotonic(), "crashed"
        self.begin_life()

    def end(self, task, how):
        entry = self.running.pop(task, None)
        if not entry:
            return
        entry[3], entry[4] = time.monotonic(), how
        self.sequence += 1
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), entry[1])
        self.finished.append([self.sequence, task, entry[1], how, ""])
        self.record(f"worker {self.name}: run {entry[1]} of {task} {how}")
        self.event.set()
        self.event = asyncio.Event()

    def tick(self):
        now = self.clock()
        if self.running and now >= self.until:
            for task in list(self.running):
                self.end(task, "lapsed")
        for task, entry in list(self.running.items()):
            if time.monotonic() >= entry[2] + self.work(task):
                self.end(task, "done")

    def take_lease(self, body):
        if "until-ms" in body:
            self.until = max(self.until, min(
                body["until-ms"], self.clock() + self.HOLD_MAX * 1000))

    def carry_out_start(self, body, late=False):
        """Applies a start. Returns (status, document)."""
        task, run = body["task"], body["run"]
        out = {"clock-ms": self.clock()}
        if body.get("fence", 0) < self.fence:
            return 409, {**out, "reason": "fence"}
        self.fence = max(self.fence, body.get("fence", 0))
        if task in self.running and self.running[task][1] == run:
            return 200, out
        if run <= self.ended_runs.get(task, 0):
            self.take_lease(body)
            return 409, {**out, "reason": "old"}
        if body["until-ms"] <= self.clock():
            return 409, {**out, "reason": "late"}
        self.take_lease(body)
        entry = [task, run, time.monotonic(), None, None]
        self.log.append(entry)
        self.running[task] = entry
        self.record(f"worker {self.name}: run {run} of {task} begins"
                    + (" on a late order" if late else ""))
        return 200, out

    async def carry_out_stop(self, body):
        if body.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = max(self.fence, body.get("fence", 0))
        task, run = body["task"], body["run"]
        self.ended_runs[task] = max(self.ended_runs.get(task, 0), run)
        entry = self.running.get(task)
        if entry and entry[1] == run:
            asyncio.get_running_loop().call_later(
                self.STOP_TIME, lambda: self.running.get(task) is entry
                and self.end(task, "stopped"))
        return 200, {"clock-ms": self.clock()}

    async def hold(self, body):
        if body.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = max(self.fence, body.get("fence", 0))
        self.take_lease(body)
        self.seen = max(self.seen, body.get("last-seen", 0))
        self.finished = [f for f in self.finished if f[0] > self.seen]
        if body.get("wait-ms") and not self.finished:
            try:
                await asyncio.wait_for(self.event.wait(),
                                       body["wait-ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {
            "clock-ms": self.clock(), "born": self.born,
            "running": [[t, e[1], "", 50, 0] for t, e in self.running.items()],
            "finished": self.finished[:500]}

    async def handle(self, method, path, query, headers, body):
        expected = headers.get("vanillayard-expected-instance", self.name)
        if expected != self.name:
            return 421, None
        if path == "/health":
            return 200, {}
        order = json.loads(body)
        if path == "/vanillayard/run-start":
            return await self.on_start(order)
        if path == "/vanillayard/run-stop":
            return await self.on_stop(order)
        if path == "/vanillayard/hold":
            return await self.on_hold(order)
        return 404, None

    async def on_start(self, order):
        return self.carry_out_start(order)

    async def on_stop(self, order):
        return await self.carry_out_stop(order)

    async def on_hold(self, order):
        return await self.hold(order)


async def request(address, method, path, body=None, timeout=3.0, key=KEY,
                  extra=""):
    """One call on a connection of its own. Returns (status, document); status
0 without an answer."""
    if not address:
        return 0, None
    host, port = address.split(":")
    payload = b"" if body is None else json.dumps(body).encode()
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write(
                    f"{method} {path} HTTP/1.1\r\nhost: {HOST_NAME}\r\n"
                    f"authorization: Token {key}\r\nconnection: close\r\n"
                    f"vanillayard-deadline-milliseconds: {int(timeout * 1000)}"
                    f"\r\n{extra}content-type: application/json\r\n"
                    f"content-length: {len(payload)}\r\n\r\n".encode()
                    + payload)
                await writer.drain()
                raw = await reader.read()
            finally:
                writer.close()
    except (TimeoutError, OSError):
        return 0, None
    head, _, text = raw.partition(b"\r\n\r\n")
    try:
        status = int(head.split(b" ")[1])
    except (IndexError, ValueError):
        return 0, None
    try:
        return status, json.loads(text)
    except ValueError:
        return status, None


class Host:
    """One entry host: the program with the command of the deploy file."""

    def __init__(self, yard, name, store_address, settings=""):
        self.yard, self.name = yard, name
        self.store_address, self.settings = store_address, settings
        self.process = None
        self.preexec = None
        self.address = self.ready_address = None

    async def start(self):
        folder = self.yard.folder
        path = os.path.join(folder, f"{self.name}.conf")
        with open(path, "w") as file:
            file.write(
                f"node={self.name}\nzone=z1\n"
                f"listen.frontend={self.address or '127.0.0.1:0'}\n"
                f"listen.ready={self.ready_address or '127.0.0.1:0'}\n"
                f"bounds.grace-s=6\n"
                f"bounds.hold-max-ms=6000\nbounds.stop-timeout-ms=900\n"
                f"bounds.status_s=120\nheartbeat-interval-ms=1500\n"
                f"platform.address={self.store_address}\n{self.settings}")
        self.log = open(os.path.join(folder, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            PROGRAM, "--platform", cwd=REPOSITORY,
            env={**os.environ, "VANILLAYARD_SETTINGS": path},
            stdout=asyncio.subprocess.PIPE, stderr=self.log,
            preexec_fn=self.preexec)
        self.output = []
        self.address = self.ready_address = None
        while not (self.address and self.ready_address):
            line = (await asyncio.wait_for(
                self.process.stdout.readline(), 10)).decode()
            if not line:
                raise RuntimeError(f"{self.name} did not start")
            self.note(line)
        self.reader = asyncio.create_task(self.read_output())
        return self

    def note(self, line):
        self.log.write(line.encode())
        self.log.flush()
        self.output.append(line)
        if line.startswith("listening "):
            _, address, what = line.split()
            if what == "callers":
                self.address = address
            elif what == "ready":
                self.ready_address = address

    async def read_output(self):
        while line := (await self.process.stdout.readline()).decode():
            self.note(line)

    def is_alive(self):
        return self.process and self.process.returncode is None

    def leads(self):
        gained = lost = -1
        for i, line in enumerate(self.output):
            if "this host is the leader" in line:
                gained = i
            if "no longer the leader" in line or "gives the leader" in line:
                lost = i
        return self.is_alive() and gained > lost

    def send(self, number):
        if self.is_alive():
            self.process.send_signal(number)

    async def stop(self):
        if self.is_alive():
            self.send(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


class Yard:
    """A small deployment: one store, some workers, some hosts."""

    def __init__(self, record):
        self.temporary = tempfile.TemporaryDirectory(prefix="yard-")
        self.folder, self.record = self.temporary.name, record
        self.store = Store()
        self.workers, self.hosts, self.tasks = [], [], []

    async def start_platform(self, workers):
        self.workers = workers
        for worker in workers:
            await worker.start()
        self.store_server = await HttpServer(self.store.handle).start()
        self.tasks += [asyncio.create_task(self.store.expire_always()),
                       asyncio.create_task(self.beat()),
                       asyncio.create_task(self.tick())]

    def configure(self, version=1, queues=None, tenants=None, limits=None):
        queue = {"name": "renders", "host": HOST_NAME, "prefix": PREFIX,
                 "timeout-ms": 3000, "priority": 1, "service": POOL,
                 "max-attempts": 3, "stretch": 3.0, "target-latency-ms": 500}
        document = {"version": version, "routes": queues or [queue],
                    "services": [{"name": POOL, "enforces-capacity": True}],
                    "tenants": tenants or [{"name": "t", "api-keys": [KEY],
                                            "guaranteed": {"gpu": 8}}]}
        if limits:
            document["limits"] = limits
        self.store.put("op/config", json.dumps(document).encode())

    async def start_hosts(self, count, settings="", addresses=None):
        for i in range(count):
            address = (addresses[i] if addresses
                       else self.store_server.address)
            host = Host(self, f"e{i + 1}", address, settings)
            self.hosts.append(host)
            await host.start()

    async def wait_ready(self):
        for host in self.hosts:
            for _ in range(200):
                if (await request(host.ready_address, "GET",
                                  "/vanillayard/ready"))[0] == 200:
                    break
                await asyncio.sleep(0.05)
            else:
                raise RuntimeError(f"{host.name} is not ready")

    async def leader(self, timeout=10):
        for _ in range(int(timeout / 0.05)):
            for host in self.hosts:
                if host.leads():
                    return host
            await asyncio.sleep(0.05)
        raise RuntimeError("no leader")

    async def beat(self):
        while True:
            for worker in self.workers:
                if worker.state != "silent":
                    self.store.put("servers/" + worker.name,
                                   worker.registration())
            await asyncio.sleep(1.5)

    async def tick(self):
        while True:
            for worker in self.workers:
                worker.tick()
            await asyncio.sleep(0.01)

    async def close(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            await host.stop()
        self.store_server.close()
        for worker in self.workers:
            worker.server.close()
        self.temporary.cleanup()


def step(count, gpu=1, **more):
    return {"count": count, "cpu": 1000, "mem-mb": 1000, "gpu": gpu,
            "estimate-ms": 1000, **more}


def job_id(number):
    return f"{number:016x}"


async def until_signal(case):
    """Plays a case. A SIGTERM ends it so that it ends its processes."""
    playing = asyncio.create_task(case())
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, playing.cancel)
    return await playing


def play(case):
    """Exits with the result of a case, or with 2 if it could not run."""
    try:
        code = asyncio.run(until_signal(case))
    except (Exception, asyncio.CancelledError) as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        code = 2
    sys.exit(code)
