"""A process with some workers, each of which serves at most CONNECTIONS
connections; more of them wait until one is closed. Prints one line for each
worker (name, address, time of birth) and then one for each run that begins or
ends."""
import asyncio
import socket
import sys
import time

import yard as y

CONNECTIONS = 64
BACKLOG = 128


class CappedServer(y.HttpServer):
    async def start(self, port=0):
        self.socket = socket.socket()
        self.socket.bind(("127.0.0.1", port))
        self.socket.listen(BACKLOG)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self.free = asyncio.Semaphore(CONNECTIONS)
        self.open = 0
        self.task = asyncio.create_task(self.accept_always())
        return self

    async def accept_always(self):
        loop = asyncio.get_running_loop()
        while True:
            await self.free.acquire()
            connection, _ = await loop.sock_accept(self.socket)
            asyncio.create_task(self.serve_one(connection))

    async def serve_one(self, connection):
        self.open += 1
        try:
            reader, writer = await asyncio.open_connection(
                sock=connection, limit=1 << 24)
            await self.serve(reader, writer)
        finally:
            self.open -= 1
            self.free.release()


class FarmWorker(y.Worker):
    async def start(self):
        self.server = await CappedServer(self.handle).start()
        self.address = self.server.address
        return self


def say(text):
    if "worker" in text:
        print("run", text, flush=True)


async def note_connections(workers):
    while True:
        await asyncio.sleep(5)
        for worker in workers:
            say(f"worker {worker.name}: {worker.server.open} of {CONNECTIONS} "
                "connections open")


async def main(first, count, seconds):
    workers = [FarmWorker(f"w{first + i}", f"r{(first + i) // 8}", say,
                          lambda task: seconds) for i in range(count)]
    for worker in workers:
        await worker.start()
        print("worker", worker.name, worker.rack, worker.address, worker.born,
              flush=True)
    asyncio.create_task(note_connections(workers))
    while True:
        for worker in workers:
            worker.tick()
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
