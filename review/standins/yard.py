"""Stand-ins of the platform's store, its workers, its operator and clients.

They follow the users' pages: the store's calls with revisions, conditions,
leases and watches, the workers' calls with fences, leases, run numbers and
ends, and the clients' calls. One process runs them all on loopback addresses;
the entry hosts are separate processes, started with the command of the deploy
file. Python's standard library is enough.
"""

import asyncio
import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HEARTBEAT_S = 1.5
STORE_ANSWER_S = 0.004
HIDDEN = object()  # the answer of a peer that never answers


def now():
    return time.monotonic()


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = now()

    def __call__(self, *parts):
        line = f"{now() - self.began:8.3f} " + " ".join(str(p) for p in parts)
        self.file.write(line + "\n")
        self.file.flush()


class HttpServer:
    """HTTP/1.1 with keep-alive. handler(method, path, query, headers, body)
    returns (status, object), or HIDDEN to leave the call unanswered."""

    def __init__(self, handler):
        self.handler = handler
        self.connections = set()
        self.server = None

    async def listen(self, ip, port=0):
        self.server = await asyncio.start_server(self.serve, ip, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return f"{ip}:{self.port}"

    def close(self):
        """Closes the listener and resets its connections, as an exit does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if ":" in line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size) if size else b""
                path, _, text = target.partition("?")
                query = {}
                for part in filter(None, text.split("&")):
                    name, _, value = part.partition("=")
                    query[name] = percent_decode(value)
                answer = await self.handler(method, path, query, headers, body)
                if answer is HIDDEN:
                    await asyncio.sleep(3600)
                status, document = answer
                data = json.dumps(document).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n"
                    f"content-length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError,
                asyncio.LimitOverrunError):
            pass
        finally:
            self.connections.discard(writer)
            writer.transport.abort()


def percent_decode(text):
    from urllib.parse import unquote
    return unquote(text)


class Store:
    """The platform's store. Each entry host has an address of its own, so that
    its path to the store can be disturbed alone."""

    def __init__(self):
        self.revision = 100
        self.items = {}
        self.events = []
        self.leases = {}
        self.changed = asyncio.Event()
        self.next_lease = 7000
        self.silent_hosts = set()
        self.busy_hosts = set()
        self.txn_filter = None

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value, lease=0):
        """A write of the operator or of a worker."""
        self.revision += 1
        self.write(key, value, lease)
        self.notify()

    def write(self, key, value, lease):
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(value).decode(),
                "revision": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease}
        self.items[key] = item
        self.events.append((self.revision, key, item))

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.events.append((self.revision, key, {
                "key": key, "revision": self.revision, "deleted": True}))

    def delete(self, key):
        self.revision += 1
        self.remove(key)
        self.notify()

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item["value"]) if item else None

    async def expire_leases(self):
        while True:
            await asyncio.sleep(0.02)
            for lease, (ttl, ends) in list(self.leases.items()):
                if now() >= ends:
                    self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [k for k, i in self.items.items() if i["lease"] == lease]
        if keys:
            self.revision += 1
            for key in keys:
                self.remove(key)
            self.notify()

    def handler_for(self, host):
        async def handle(method, path, query, headers, body):
            if host in self.silent_hosts:
                return HIDDEN
            if host in self.busy_hosts:
                return 503, {}
            await asyncio.sleep(STORE_ANSWER_S)
            return await self.handle(host, method, path, query, body)
        return handle

    async def handle(self, host, method, path, query, body):
        call = path.removeprefix("/vanillayard/")
        if call == "kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {}
            return 200, dict(item, **{"current-rev": self.revision})
        if call == "kv-range":
            prefix, after = query["prefix"], query.get("after", "")
            keys = sorted(k for k in self.items
                          if k.startswith(prefix) and k > after)
            return 200, {"items": [self.items[k] for k in keys[:500]],
                         "has-more": len(keys) > 500,
                         "current-rev": self.revision}
        if call == "kv-watch":
            return await self.watch(query)
        if call == "kv-txn":
            return await self.transact(host, json.loads(body))
        if call == "kv-lease":
            ttl = max(1000, json.loads(body)["ttl-ms"])
            self.next_lease += 1
            self.leases[self.next_lease] = (ttl, now() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl-ms": ttl}
        lease = int(path.rsplit("/", 1)[1])
        if lease not in self.leases:
            return 404, {}
        ttl = self.leases[lease][0]
        if call.startswith("kv-keep"):
            self.leases[lease] = (ttl, now() + ttl / 1000)
        else:
            self.end_lease(lease)
        return 200, {"ttl-ms": ttl}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        ends = now() + min(int(query["wait-ms"]), 30000) / 1000
        while True:
            events = [e for r, k, e in self.events
                      if r > after and k.startswith(prefix)]
            left = ends - now()
            if events or left <= 0:
                return 200, {"events": events, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    async def transact(self, host, body):
        expected = body.get("expected-revision", [])
        puts = body.get("puts", [])
        removes = body.get("remove", [])
        if len(expected) + len(puts) + len(removes) > 32:
            return 400, {}
        for row in puts:
            if row.get("lease") and row["lease"] not in self.leases:
                return 404, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        for row in expected:
            item = self.items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [
                    self.items.get(r["key"]) or {"key": r["key"],
                                                 "revision": 0, "value": ""}
                    for r in expected]}
        self.revision += 1
        for row in puts:
            self.write(row["key"], base64.b64decode(row["value"]),
                       row.get("lease", 0))
        for key in removes:
            self.remove(key)
        self.notify()
        return 200, {"revision": self.revision}


class Run:
    def __init__(self, task, run, spec, worker):
        self.task, self.run, self.worker = task, run, worker
        self.spec = json.loads(spec)
        self.began = now()
        self.stopping = False


class Worker:
    """One worker. What a task does is in its job's specification: "ms" is how
    long it works, "fails" whether it then ends as failed."""

    def __init__(self, yard, name, ip, rack, kind="a", gpu=8):
        self.yard, self.name, self.ip = yard, name, ip
        self.rack, self.kind, self.gpu = rack, kind, gpu
        self.unhealthy = False   # start orders get 503
        self.hidden = False      # no call is answered
        self.draining = False
        self.gone = False
        self.beat_task = None
        self.port = 0

    async def start(self, kind=None):
        """Begins a life of the worker; the id and the address stay."""
        if kind:
            self.kind = kind
        self.gone = False
        self.draining = False
        self.clock0 = now()
        self.born = int(time.time() * 1000)
        self.fence = 0
        self.runs = {}
        self.ends = []
        self.end_count = 0
        self.blocked = {}
        self.lease_until = 0
        self.end_event = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.address = await self.server.listen(self.ip, self.port)
        self.port = self.server.port
        self.beat()
        self.beat_task = asyncio.create_task(self.live())

    def clock(self):
        return int((now() - self.clock0) * 1000)

    def beat(self):
        entry = {"service": "pool", "address": self.address, "zone": "z1",
                 "version": "v1", "slots": 8,
                 "state": "draining" if self.draining else "ready",
                 "cold-remaining-ms": 0,
                 "capacity": {"cpu": 128000, "mem-mb": 262144,
                              "gpu": self.gpu},
                 "labels": [self.kind, self.rack], "born": self.born,
                 "clock-ms": self.clock(), "sequence": self.clock() // 1500}
        self.yard.store.put(f"servers/{self.name}", json.dumps(entry).encode())

    async def live(self):
        next_beat = now() + HEARTBEAT_S
        while not self.gone:
            await asyncio.sleep(0.01)
            if now() >= next_beat and not self.hidden:
                next_beat += HEARTBEAT_S
                self.beat()
            for run in list(self.runs.values()):
                if self.clock() >= self.lease_until:
                    self.finish(run, "lapsed")
                elif (now() - run.began) * 1000 >= run.spec["ms"]:
                    self.finish(run, "failed" if run.spec.get("fails")
                                else "done")

    def finish(self, run, how):
        del self.runs[run.task]
        self.end_count += 1
        self.ends.append([self.end_count, run.task, run.run, how, ""])
        self.blocked[run.task] = max(self.blocked.get(run.task, 0), run.run)
        self.yard.task_ended(self, run, how)
        self.end_event.set()
        self.end_event = asyncio.Event()

    def crash(self):
        self.gone = True
        self.yard.record("worker", self.name, "is gone")
        self.server.close()
        for run in list(self.runs.values()):
            self.yard.task_ended(self, run, "crash")
        self.runs = {}

    def leave(self):
        """The planned exit: what runs terminates, the entry is removed."""
        self.crash()
        self.yard.store.delete(f"servers/{self.name}")

    async def handle(self, method, path, query, headers, body):
        if self.hidden:
            return HIDDEN
        expected = headers.get("vanillayard-expected-instance", self.name)
        if expected != self.name:
            return 421, {}
        call = path.removeprefix("/vanillayard/")
        data = json.loads(body) if body else {}
        if call == "run-start" and self.unhealthy:
            self.yard.record("worker", self.name, "refuses start with 503",
                             data["task"], data["run"])
            return 503, {}
        if data.get("fence", 0) < self.fence:
            return 409, {"clock-ms": self.clock(), "reason": "fence"}
        self.fence = max(self.fence, data.get("fence", 0))
        if call == "hold":
            return await self.hold(data)
        if call == "run-start":
            return self.run_start(data)
        if call == "run-stop":
            return self.run_stop(data)
        return 404, {}

    def extend(self, until):
        longest = self.clock() + self.yard.hold_max_ms
        self.lease_until = max(self.lease_until, min(until, longest))

    async def hold(self, data):
        last = data.get("last-seen", 0)
        self.ends = [e for e in self.ends if e[0] > last]
        if "until-ms" in data:
            self.extend(data["until-ms"])
        wait = min(data.get("wait-ms", 0), 2000) / 1000
        if wait and not self.ends:
            try:
                await asyncio.wait_for(self.end_event.wait(), wait)
            except asyncio.TimeoutError:
                pass
        if self.hidden or self.gone:
            return HIDDEN
        return 200, {"clock-ms": self.clock(), "born": self.born,
                     "running": [[r.task, r.run, "", 50, 1000]
                                 for r in self.runs.values()],
                     "finished": self.ends[:500]}

    def run_start(self, data):
        task, run, until = data["task"], data["run"], data["until-ms"]
        clock = self.clock()
        if task in self.runs and self.runs[task].run == run:
            return 200, {"clock-ms": clock}
        if until <= clock:
            return 409, {"clock-ms": clock, "reason": "late"}
        if run <= self.blocked.get(task, 0) or task in self.runs:
            self.extend(until)
            return 409, {"clock-ms": clock, "reason": "old"}
        need = self.yard.need_of(task)
        used = sum(self.yard.need_of(t) for t in self.runs)
        if used + need > self.gpu:
            self.extend(until)
            return 409, {"clock-ms": clock, "reason": "room"}
        self.extend(until)
        self.runs[task] = Run(task, run, data["specification"], self)
        self.yard.task_started(self, self.runs[task], data)
        return 200, {"clock-ms": clock}

    def run_stop(self, data):
        task, run = data["task"], data["run"]
        self.blocked[task] = max(self.blocked.get(task, 0), run)
        live = self.runs.get(task)
        if live and live.run <= run:
            self.finish(live, "stopped")
        return 200, {"clock-ms": self.clock()}


class EntryHost:
    """One process of the system under review."""

    def __init__(self, yard, number):
        self.yard = yard
        self.name = f"frontend-z1-{number}"
        self.ip = f"127.0.7.{number}"
        self.process = None

    async def start(self):
        if not self.process:
            self.store = HttpServer(self.yard.store.handler_for(self.name))
            store = await self.store.listen(self.ip)
            self.client_port, self.ready_port = free_ports(self.ip, 2)
            first = free_range(self.ip, 16)
            path = self.yard.folder / f"{self.name}.conf"
            path.write_text(SETTINGS.format(
                name=self.name, ip=self.ip, client=self.client_port,
                ready=self.ready_port, first=first, last=first + 15,
                store=store, hold_max=self.yard.hold_max_ms))
            self.settings = path
        await self.spawn()

    async def spawn(self):
        command = self.yard.command
        output = open(self.yard.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, stdout=output, stderr=output,
            env={"PATH": os.environ.get("PATH", ""),
                 "HOME": os.environ.get("HOME", "/"), "LANG": "C",
                 "VANILLAYARD_SETTINGS": str(self.settings)})
        self.yard.record("host", self.name, "starts, process",
                         self.process.pid)

    def signal(self, number):
        self.yard.record("host", self.name, "gets signal", number)
        self.process.send_signal(number)

    async def is_ready(self):
        status, _ = await call(self.ip, self.ready_port, "GET",
                               "/vanillayard/ready", timeout=1)
        return status == 200


SETTINGS = """node={name}
role=entry-host
machine-class=frontend
serves=frontend
ip={ip}
zone=z1
region=r1
zones.z1=r1
listen.frontend={ip}:{client}
listen.ready={ip}:{ready}
internal-ports={first},{last}
seeds=
bootstrap=true
counts-toward-tolerance=false
limits.cpu-share=0.25
limits.cores=1
limits.memory-mb=260
limits.file-descriptors=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=virtual_ip
heartbeat-interval-ms=1500
contracts=base,drain,config,cost,recover,sched,tenants,platform
fault-tolerance.machines=1
fault-tolerance.zones=1
fault-tolerance.regions=0
bounds.contact-ms=3000
bounds.ack-timeout-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.recovery-s=12
bounds.hold-max-ms={hold_max}
bounds.stop-timeout-ms=900
bounds.gang-timeout-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote-factor=3
bounds.checkpoint-s=2
bounds.restore-ms=600
bounds.lease-ms=3000
bounds.reclaim-ms=3400
orders=call
platform.address={store}
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.ttl-min-ms=1000
"""


def free_ports(ip, count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind((ip, 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def free_range(ip, count):
    while True:
        first = random.randrange(20000, 30000)
        try:
            for port in range(first, first + count):
                with socket.socket() as s:
                    s.bind((ip, port))
            return first
        except OSError:
            continue


async def call(ip, port, method, path, body=None, headers=None, timeout=3.0):
    """Returns (status, object); (0, None) if there was no complete answer."""
    async def talk():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            data = json.dumps(body).encode() if body is not None else b""
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
            lines += [f"Content-Length: {len(data)}",
                      "Content-Type: application/json", "Connection: close"]
            if "Host" not in (headers or {}):
                lines.append(f"Host: {ip}:{port}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            raw = await reader.read()
            head, _, rest = raw.partition(b"\r\n\r\n")
            status = int(head.split(b" ")[1])
            try:
                return status, json.loads(rest) if rest else {}
            except ValueError:
                return status, {}
        finally:
            writer.transport.abort()
    try:
        return await asyncio.wait_for(talk(), timeout)
    except (OSError, asyncio.TimeoutError, IndexError, ValueError):
        return 0, None


class Job:
    def __init__(self, ident, queue, body):
        self.id, self.queue, self.body = ident, queue, body
        self.answers = []        # status of each attempt to hand it in
        self.accepted_at = None
        self.cancel_acked_at = None
        self.starts = []         # (time, worker, task, run)
        self.ends = []           # (time, worker, task, run, how)

    def task_count(self):
        return sum(s["count"] for s in self.body["steps"])

    def has_begun(self):
        return bool(self.starts)

    def gpu(self):
        return max(s.get("gpu", 0) for s in self.body["steps"])

    def is_due(self):
        """A task is neither done nor running, and the steps before its own
        are done."""
        done = {task for _, _, task, _, how in self.ends if how == "done"}

        def is_done(number):
            return all(f"{self.id}.0.{number}.{i}" in done
                       for i in range(self.body["steps"][number]["count"]))
        return any(not is_done(number) and
                   all(is_done(d) for d in spec.get("after", []))
                   for number, spec in enumerate(self.body["steps"]))

    def running(self):
        ended = {(w, t, r) for _, w, t, r, _ in self.ends}
        return [s for s in self.starts if s[1:] not in ended]


class Yard:
    """The deployment: store, workers, entry hosts and clients."""

    def __init__(self, folder, record, hold_max_ms=6000):
        self.record = record
        self.folder = folder
        self.hold_max_ms = hold_max_ms
        self.store = Store()
        self.workers = []
        self.hosts = []
        self.jobs = {}
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        words = deploy["roles"]["entry-host"]["run"].split(" ")
        self.command = [str(ROOT / words[0])] + words[1:]
        self.background = []
        self.next_id = random.getrandbits(60)
        self.turn = 0
        self.on_start = None

    async def begin(self, hosts, config=None):
        self.background.append(
            asyncio.create_task(self.store.expire_leases()))
        self.store.put("op/config", json.dumps(config or CONFIG).encode())
        for worker in self.workers:
            await worker.start()
        for number in range(1, hosts + 1):
            self.hosts.append(EntryHost(self, number))
        for host in self.hosts:
            await host.start()
        ends = now() + 15
        while now() < ends:
            ready = [await h.is_ready() for h in self.hosts]
            if all(ready):
                break
            await asyncio.sleep(0.2)
        else:
            raise RuntimeError("the entry hosts did not get ready")
        await asyncio.sleep(4)

    async def end(self):
        for worker in self.workers:
            worker.gone = True
        for task in self.background:
            task.cancel()
        for host in self.hosts:
            if host.process and host.process.returncode is None:
                try:
                    host.process.send_signal(signal.SIGCONT)
                    host.process.kill()
                except ProcessLookupError:
                    pass
                await host.process.wait()

    def leader(self):
        """The host that last wrote the store's record of the leader."""
        value = self.store.value("vy/leader")
        name = value.decode().split(" ")[0] if value else None
        return next((h for h in self.hosts if h.name == name), None)

    def used_gpus(self):
        return sum(self.need_of(task) for worker in self.workers
                   for task in worker.runs)

    # What the workers tell.

    def job_of(self, task):
        return self.jobs.get(task.split(".")[0])

    def need_of(self, task):
        job = self.job_of(task)
        step = int(task.split(".")[2])
        return job.body["steps"][step].get("gpu", 0) if job else 0

    def task_started(self, worker, run, data):
        self.record("worker", worker.name, "starts", run.task, "run", run.run,
                    "fence", data.get("fence"))
        job = self.job_of(run.task)
        if job:
            job.starts.append((now(), worker.name, run.task, run.run))
        if self.on_start:
            self.on_start(worker, run, data)

    def task_ended(self, worker, run, how):
        self.record("worker", worker.name, "ends", run.task, "run", run.run,
                    how)
        job = self.job_of(run.task)
        if job:
            job.ends.append((now(), worker.name, run.task, run.run, how))

    # Clients.

    def next_host(self):
        self.turn += 1
        return self.hosts[self.turn % len(self.hosts)]

    async def client(self, method, path, body=None, host=None, timeout=3.0):
        host = host or self.next_host()
        status, answer = await call(
            host.ip, host.client_port, method, path, body,
            {"Host": "yard.example", "Authorization": "Token key-1",
             "Vanillayard-Deadline-Milliseconds": int(timeout * 1000)},
            timeout)
        self.record("client", method, path, "at", host.name, "->",
                    status or "no answer",
                    json.dumps(answer) if answer else "")
        return status, answer

    async def submit(self, queue, steps, spec, retries=4, host=None):
        self.next_id += 1
        job = Job(f"{self.next_id:016x}", queue,
                  {"specification": json.dumps(spec), "steps": steps})
        self.jobs[job.id] = job
        for _ in range(retries + 1):
            status, _ = await self.client("POST", f"/{queue}/{job.id}",
                                          job.body, host)
            job.answers.append(status)
            if 200 <= status < 300:
                job.accepted_at = now()
                break
            if status not in (0, 502, 503, 504, 429):
                break
            await asyncio.sleep(0.5)
        return job

    async def state(self, job, host=None):
        status, answer = await self.client("GET", f"/{job.queue}/{job.id}",
                                           host=host)
        return status, (answer or {}).get("state")


def route(name, priority, attempts, stretch, target):
    return {"name": f"r-{name}", "host": "yard.example", "prefix": f"/{name}/",
            "kind": "unsafe", "timeout-ms": 3000, "target-latency-ms": target,
            "priority": priority, "service": "pool", "max-attempts": attempts,
            "stretch": stretch, "public": False}


CONFIG = {
    "version": 7,
    "routes": [route("urgent", 0, 2, 1.5, 250), route("normal", 1, 4, 3.0, 1000),
               route("bulk", 2, 3, 3.0, 3000)],
    "services": [{"name": "pool", "health-path": "/health",
                  "max-connections": 64, "protocol": "h1", "tls": False,
                  "enforces-capacity": True, "spare": False}],
    "limits": {"header-bytes": 16384, "body-bytes": 262144,
               "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
    "tenants": [{"name": "tenant-1", "api-keys": ["key-1"], "priority": 1,
                 "guaranteed": {"gpu": 16}}]}


def step(count=1, gpu=1, estimate_ms=1000, **more):
    return dict({"count": count, "cpu": 1000, "mem-mb": 1000, "gpu": gpu,
                 "estimate-ms": estimate_ms}, **more)


FINISH_S = 14       # bounds.finish_s
IDLE_S = 3          # LOST: "for 3 s, a job has nothing running"


async def unstarted_at_the_end(yard, jobs):
    """The check of LOST after the end of the traffic, which is now: jobs that
    have a task whose turn has come, and nothing running, all the time from
    FINISH_S to FINISH_S + IDLE_S, while under half of the capacity is in use
    and the task would fit twice. Returns the broken rules."""
    yard.record("the traffic ends")
    await asyncio.sleep(FINISH_S)
    idle = {job for job in jobs if job.accepted_at}
    used_most = 0
    ends = now() + IDLE_S
    while now() < ends:
        idle = {job for job in idle if not job.running() and job.is_due()}
        used_most = max(used_most, yard.used_gpus())
        await asyncio.sleep(0.05)
    room = sum(w.gpu for w in yard.workers if not w.gone and not w.draining)
    broken = []
    for job in jobs:
        if not job.accepted_at:
            continue
        status, state = await yard.state(job)
        if status != 200:
            broken.append(f"LOST: job {job.id} isn't known, status {status}")
        elif job in idle and used_most < room / 2 - 2 * job.gpu():
            broken.append(
                f"LOST: job {job.id}, accepted {now() - job.accepted_at:.1f} s "
                f"ago, is {state} and had nothing running for {IDLE_S} s, with "
                f"{used_most} of {room} GPUs in use")
    return broken


def run_case(folder, case, workers, trouble, hosts=3, hold_max_ms=6000):
    """Runs `case(yard, trouble)`, which returns the broken rules as texts.
    Exit codes: 1 broken, 0 held, 2 could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    temporary = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def main():
        yard = Yard(temporary, record, hold_max_ms)
        workers(yard)
        try:
            await yard.begin(hosts)
            return await asyncio.wait_for(case(yard, trouble), 100)
        finally:
            await yard.end()

    try:
        broken = asyncio.run(main())
    except Exception as error:  # noqa: the case could not be played
        record("could not run:", repr(error))
        print("could not run:", repr(error))
        return 2
    finally:
        if os.environ.get("KEEP"):
            print("logs:", temporary)
        else:
            shutil.rmtree(temporary, ignore_errors=True)
    for line in broken:
        record("BROKEN", line)
        print("broken:", line)
    print("the rule was broken" if broken else "the rule held")
    return 1 if broken else 0
