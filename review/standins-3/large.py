"""A deployment with as many workers as kgd-yard and swanbag-yard, each with
64 connections, and hosts with the descriptors of their machines."""
import asyncio
import json
import os
import resource
import sys
import time

import yard as y

FOLDER = os.path.dirname(os.path.abspath(__file__))
DESCRIPTORS = 4100
HOSTS = 3
FARMS, WORKERS_EACH = 6, 8
WORKER_CORES = 128
RESTART_DELAY = 0.5


class Farm:
    """One process with some workers, and what it prints."""

    def __init__(self, yard, record, task_seconds):
        self.yard, self.record = yard, record
        self.task_seconds = task_seconds
        self.workers = []  # (name, rack, address, born)
        self.begun, self.running = set(), set()

    async def start(self, first):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, "farm.py", str(first), str(WORKERS_EACH),
            str(self.task_seconds), cwd=FOLDER, stdout=asyncio.subprocess.PIPE)
        while len(self.workers) < WORKERS_EACH:
            line = (await asyncio.wait_for(
                self.process.stdout.readline(), 10)).decode().split()
            if not line:
                raise RuntimeError("a farm did not start")
            self.workers.append((line[1], line[2], line[3], int(line[4])))
        self.yard.tasks += [asyncio.create_task(self.beat()),
                            asyncio.create_task(self.read())]

    async def beat(self):
        while True:
            for name, rack, address, born in self.workers:
                clock = int(time.time() * 1000) - born
                self.yard.store.put("servers/" + name, json.dumps({
                    "service": y.POOL, "address": address, "zone": "z1",
                    "version": "v1", "slots": 8, "state": "ready",
                    "cold-remaining-ms": 0, "sequence": clock, "born": born,
                    "clock-ms": clock, "labels": ["a", rack],
                    "capacity": {"cpu": WORKER_CORES * 1000, "mem-mb": 262144,
                                 "gpu": 8}}).encode())
            await asyncio.sleep(1.5)

    async def read(self):
        while line := (await self.process.stdout.readline()).decode():
            self.record(line.strip())
            words = line.split()  # run worker wN: run R of TASK WHAT
            if words[3] != "run":
                continue
            run = (words[6], words[4])
            if words[7] == "begins":
                self.begun.add(run)
                self.running.add(run)
            else:
                self.running.discard(run)

    async def stop(self):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


async def restart_dead(host, record, ends):
    """The platform starts a process again that ends."""
    while True:
        await asyncio.sleep(0.02)
        if host.is_alive():
            continue
        ends[host.name] = ends.get(host.name, 0) + 1
        record(f"{host.name} ends by itself, exit code "
               f"{host.process.returncode}, time {ends[host.name]}")
        await asyncio.sleep(RESTART_DELAY)
        await host.start()


def open_descriptors(host):
    try:
        return len(os.listdir(f"/proc/{host.process.pid}/fd"))
    except OSError:
        return 0


async def note_descriptors(yard, record):
    while True:
        record(f"descriptors {[open_descriptors(h) for h in yard.hosts]}, "
               f"leaders {[h.name for h in yard.hosts if h.leads()]}")
        await asyncio.sleep(1)


def limit_descriptors():
    resource.setrlimit(resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))


class LargeYard(y.Yard):
    def __init__(self, record, task_seconds):
        super().__init__(record)
        self.task_seconds = task_seconds
        self.farms, self.ends = [], {}

    async def start(self):
        await self.start_platform([])
        for i in range(FARMS):
            self.farms.append(Farm(
                self, self.record, self.task_seconds))
            await self.farms[-1].start(i * WORKERS_EACH)
        for i in range(HOSTS):
            self.hosts.append(y.Host(
                self, f"e{i + 1}", self.store_server.address,
                "limits.memory-mb=260\nlimits.cpu-share=0.25\n"
                f"limits.file-descriptors={DESCRIPTORS}\n"))
            self.hosts[-1].preexec = limit_descriptors
            await self.hosts[-1].start()
        self.configure()
        await self.wait_ready()
        await self.leader()
        self.tasks += [
            asyncio.create_task(restart_dead(h, self.record, self.ends))
            for h in self.hosts]
        self.tasks.append(asyncio.create_task(
            note_descriptors(self, self.record)))

    async def hand_in_large(self, jobs, tasks):
        """Hands in jobs of one step; returns the ids of those accepted."""
        accepted = []
        for number in range(jobs):
            job = y.job_id(1_000_000 + number)
            status, _ = await y.request(
                self.hosts[number % HOSTS].address, "POST", y.PREFIX + job,
                {"specification": "x", "steps": [
                    {"count": tasks, "cpu": 500, "mem-mb": 256,
                     "estimate-ms": int(self.task_seconds * 1000)}]})
            self.record(f"job {job} of {tasks} tasks: {status}")
            if status == 200:
                accepted.append(job)
        return accepted

    def begun(self):
        return set().union(*(farm.begun for farm in self.farms))

    def running(self):
        return set().union(*(farm.running for farm in self.farms))

    async def close(self):
        await super().close()
        for farm in self.farms:
            await farm.stop()
