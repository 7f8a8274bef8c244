"""A small deployment on loopback addresses: the project's processes, and stand-ins of executors,
clients and the operator. Needs Python 3.9 and its standard library only.

Each machine has an address of its own in 127.0.0.0/8. Processes are started with the command of the
deploy file; their settings are what the deploy file's template makes of a small site's.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = "target/release/fulmardrift-platform"
SESSION_PORT = 7720
METRICS_PORT = 9464
CONTROL_PORT = 8166
FRONTEND_PORT = 8161
READINESS_PORT = 8167
APP_PORT = 8165
ZONES = ["loom-a", "loom-b", "loom-c"]
HOST = "nony24.example"
PREFIX = "/lohu930/"
SERVICE = "huvo11a"
HEARTBEAT_S = 1.5
RESTART_S = 0.25
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# The bounds of the site files for small deployments.
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4,
    "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200, "config_apply_ms": 2000,
    "rollback_slack_ms": 250, "max_skew_ms": 5000, "cold_overage": 1.5, "cold_slack": 5,
    "evacuate_ms": 5000, "recovery_s": 12, "hold_max_ms": 1000, "stop_ms": 50, "gang_ms": 3000,
    "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
    "remote_slowdown": 1.5, "checkpoint_s": 1, "restore_ms": 250, "notice_ms": 4500,
    "migrate_s": 1.5, "maintenance_s": 2, "fencing_required": True, "lease_ms": 3000,
    "thaw_ms": 300, "pace_ms": 100, "interference_ms": 4000, "resend_ms": 1300,
}


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.rows = []

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, what, **fields):
        at = self.now()
        self.rows.append((at, what, fields))
        text = " ".join(f"{key}={value}" for key, value in fields.items())
        self.file.write(f"{at:8.3f} {what} {text}\n")
        self.file.flush()
        return at


async def read_message(reader):
    """Reads one HTTP/1.1 message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                break
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, timeout=5.0, source=None, leave=None):
    """Sends one request on a connection of its own. Returns (status, headers, body), or None if the
    connection ended without a complete answer. Raises asyncio.TimeoutError after `timeout`."""

    async def exchange():
        local = (source, 0) if source else None
        try:
            reader, writer = await asyncio.open_connection(*address, local_addr=local)
        except OSError:
            return None
        try:
            data = b"" if body is None else json.dumps(body).encode()
            rows = [f"{method} {path} HTTP/1.1"]
            fields = {"Host": f"{address[0]}:{address[1]}"}
            if body is not None:
                fields["Content-Type"] = "application/json"
            if body is not None or method in ("POST", "PUT"):
                fields["Content-Length"] = str(len(data))
            fields.update(headers or {})
            rows += [f"{name}: {value}" for name, value in fields.items()]
            writer.write("\r\n".join(rows).encode() + b"\r\n\r\n" + data)
            await writer.drain()
            first, got, answer = await read_message(reader)
            return int(first.split()[1]), got, answer
        except (OSError, asyncio.IncompleteReadError, ValueError, IndexError):
            return None
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


class Executor:
    """A sound executor, as the users' pages describe one. `work` maps a start to (seconds, how)."""

    def __init__(self, deployment, number, labels, cpu, guards, work):
        self.d = deployment
        self.number = number
        self.address = (deployment.ip("side", number), APP_PORT)
        self.agent = (deployment.ip("side", number), CONTROL_PORT)
        self.id = f"i-{random.randrange(16**8):08x}"
        self.labels = labels
        self.cpu = cpu
        self.guards = guards
        self.work = work
        self.zone = ZONES[number % 3]
        self.up = False
        self.hangs = False
        self.server = None
        self.connections = set()
        self.tasks = []

    def clock(self):
        return int((time.monotonic() - self.clock_from) * 1000)

    async def start(self):
        self.clock_from = time.monotonic()
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.token = 0
        self.until = 0
        self.running = {}
        self.finished = []
        self.ends = 0
        self.floor = {}
        self.changed = asyncio.Event()
        self.up = True
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.tasks = [
            asyncio.create_task(self.announce()),
            asyncio.create_task(self.tick()),
        ]

    async def stop(self):
        """Ends the process: what runs is gone, and its connections are closed."""
        self.up = False
        if self.server:
            self.server.close()
        for task in self.tasks:
            task.cancel()
        for writer in list(self.connections):
            writer.transport.abort()
        for (task, run) in list(self.running):
            self.d.record("run-gone", executor=self.number, task=task, run=run)
        self.running = {}

    def used(self):
        return sum(self.d.need(task) for task, _ in self.running)

    async def announce(self):
        while True:
            self.sequence += 1
            body = {
                "service": SERVICE, "address": f"{self.address[0]}:{self.address[1]}",
                "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
                "cold_remaining_ms": 0, "capacity": {"cpu": self.cpu, "mem_mb": 262144, "gpu": 0},
                "labels": self.labels, "clock_ms": self.clock(), "sequence": self.sequence,
                "born": self.born,
            }
            try:
                got = await call(self.agent, "PUT", f"/instances/{self.id}", body, timeout=1.0)
            except asyncio.TimeoutError:
                got = None
            await asyncio.sleep(HEARTBEAT_S if got and got[0] == 200 else 0.2)

    async def tick(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for key, run in list(self.running.items()):
                if now >= run["ends"]:
                    self.end(key, run["how"])
            if self.running and self.clock() > self.until:
                for key in list(self.running):
                    self.end(key, "lapsed")

    def end(self, key, how):
        self.running.pop(key)
        task, run = key
        self.floor[task] = max(self.floor.get(task, 0), run)
        self.ends += 1
        self.finished.append([self.ends, task, run, how, ""])
        self.d.record("end", executor=self.number, n=self.ends, task=task, run=run, how=how)
        self.changed.set()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while self.up:
                first, headers, body = await read_message(reader)
                if self.hangs:
                    # Neither carried out nor answered.
                    await reader.read()
                    return
                status, answer = await self.handle(first.split()[1], headers, json.loads(body))
                answer = dict(answer, clock_ms=self.clock(), born=self.born)
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                writer.write(head.encode() + f"Content-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def handle(self, path, headers, body):
        if headers.get("x-expect-instance", self.id) != self.id:
            return 421, {}
        token = body.get("fencing_token", 0)
        if token < self.token:
            return 409, {"reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self.run_start(body)
        if path == "/run-stop":
            task, run = body["task"], body["run"]
            self.d.record("stop", executor=self.number, task=task, run=run)
            if (task, run) in self.running:
                self.end((task, run), "stopped")
            self.floor[task] = max(self.floor.get(task, 0), run)
            return 200, {}
        if path == "/hold":
            self.finished = [row for row in self.finished if row[0] > body.get("last_seen", 0)]
            if "until_ms" in body:
                self.extend(body["until_ms"])
            if not self.finished and body.get("wait_ms"):
                self.changed.clear()
                try:
                    await asyncio.wait_for(self.changed.wait(), min(body["wait_ms"], 2000) / 1000)
                except asyncio.TimeoutError:
                    pass
            now = time.monotonic()
            running = []
            for (task, run), row in self.running.items():
                share = (now - row["began"]) / max(row["ends"] - row["began"], 0.001)
                running.append([task, run, "", min(int(share * 100), 99), self.d.need(task)])
            return 200, {"running": running, "finished": self.finished[:500]}
        return 404, {}

    def extend(self, until):
        self.until = max(self.until, min(until, self.clock() + BOUNDS["hold_max_ms"]))

    def run_start(self, body):
        task, run, until = body["task"], body["run"], body["until_ms"]
        refuse = None
        if (task, run) in self.running:
            return 200, {}
        if until <= self.clock():
            refuse = "late"
        elif run <= self.floor.get(task, 0):
            refuse = "old"
        elif self.guards and self.used() + self.d.need(task) > self.cpu:
            refuse = "room"
        if refuse in (None, "old", "room"):
            self.extend(until)
        if refuse:
            self.d.record("start-rejected", executor=self.number, task=task, run=run, why=refuse)
            return 409, {"reason": refuse}
        seconds, how = self.work(task, run, body["spec"])
        now = time.monotonic()
        self.running[(task, run)] = {"began": now, "ends": now + seconds, "how": how}
        self.d.record("start", executor=self.number, task=task, run=run, used=self.used())
        return 200, {}


class Deployment:
    """The processes of one run, their stand-ins and what is recorded of them."""

    def __init__(self, folder, cores=3, fronts=2, sides=3):
        self.record = Record(folder)
        self.folder = tempfile.mkdtemp(prefix="fulmardrift-review-")
        self.count = {"core": cores, "front": fronts, "side": sides}
        self.processes = {}
        self.executors = []
        self.jobs = {}
        self.version = 0
        for _ in range(50):
            self.net = (random.randrange(16, 120), random.randrange(1, 250))
            if self.is_free():
                return
        raise CannotRun("no free loopback addresses")

    def ip(self, kind, number):
        first = {"core": 10, "front": 50, "side": 100}[kind]
        return f"127.{self.net[0]}.{self.net[1]}.{first + number}"

    def is_free(self):
        for kind, count in self.count.items():
            for number in range(count):
                for port in (SESSION_PORT, METRICS_PORT, CONTROL_PORT, FRONTEND_PORT):
                    with socket.socket() as probe:
                        try:
                            probe.bind((self.ip(kind, number), port))
                        except OSError:
                            return False
        return True

    def need(self, task):
        job, _, step, _ = task.split(".")
        return self.jobs[job]["phases"][int(step)].get("cpu", 0) if job in self.jobs else 0

    def settings(self, kind, number, first):
        serves, role, cls = {
            "core": ("control_plane", "control", "core"),
            "front": ("frontend", "entry", "frontend"),
            "side": ("side", "agent", "side"),
        }[kind]
        ip = self.ip(kind, number)
        listen = {"control": f"{ip}:{CONTROL_PORT}"}
        if kind == "front":
            listen = {"frontend": f"{ip}:{FRONTEND_PORT}", "readiness": f"{ip}:{READINESS_PORT}"}
        seeds = [f"{self.ip('core', n)}:{CONTROL_PORT}" for n in range(min(3, self.count["core"]))]
        data = None
        if kind == "core":
            data = os.path.join(self.folder, f"data-{number}")
            os.makedirs(data, exist_ok=True)
        values = {
            "node_name": f"{cls}-{ZONES[number % 3]}-{number}", "role": role, "machine_class": cls,
            "serves": [serves], "ip": ip, "zone": ZONES[number % 3], "region": "fraser-west",
            "zones": {zone: "fraser-west" for zone in ZONES}, "listen_addresses": listen,
            "internal_ports": [SESSION_PORT, SESSION_PORT + 15], "seeds": seeds,
            "bootstrap": first, "counts_as_loss": kind == "core",
            "limits": {"cpu_share": 0.5, "cores": 1, "memory_mb": 256, "max_fds": 4096,
                       "link_mbps": 1000.0, "disk_mb": 128 if kind == "core" else 0},
            "data_dir": data, "discovery": "local", "entry": "vip", "heartbeat_ms": 1500,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched", "places"],
            "fault_tolerance": {"machines": 1, "zones": 1, "regions": 0}, "bounds": BOUNDS,
            "config_mode": "highest", "commands": "invocation",
        }
        if kind == "side":
            values["app"] = f"{ip}:{APP_PORT}"
            values["service"] = SERVICE
        path = os.path.join(self.folder, f"{kind}-{number}.json")
        with open(path, "w", encoding="utf-8") as file:
            json.dump(values, file)
        return path

    def spawn(self, kind, number, first=False):
        path = self.settings(kind, number, first)
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["FULMARDRIFT_NODE_FILE"] = path
        log = open(os.path.join(self.folder, f"{kind}-{number}.log"), "a", encoding="utf-8")
        process = subprocess.Popen(
            [PROGRAM], cwd=ROOT, env=env, stdout=log, stderr=subprocess.STDOUT,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.processes[(kind, number)] = process
        self.record("process-start", kind=kind, number=number)

    def signal(self, kind, number, what):
        self.processes[(kind, number)].send_signal(what)
        self.record("signal", kind=kind, number=number, signal=signal.Signals(what).name)
        if what == signal.SIGKILL:
            self.processes[(kind, number)].wait()

    def kill(self, kind, number):
        self.signal(kind, number, signal.SIGKILL)

    async def start(self, config_routes=None, enforces=True, executors=(), work=None):
        if not os.path.exists(os.path.join(ROOT, PROGRAM)):
            raise CannotRun(f"{PROGRAM} is not built")
        for kind, count in self.count.items():
            for number in range(count):
                self.spawn(kind, number, first=True)
        for number, (labels, cpu) in enumerate(executors):
            executor = Executor(self, number, labels, cpu, enforces, work)
            self.executors.append(executor)
            await executor.start()
        await self.put_config(config_routes or [route()], enforces)
        await self.wait_ready()

    async def put_config(self, routes, enforces=True):
        self.version += 7
        body = {
            "version": self.version, "routes": routes,
            "services": [{"name": SERVICE, "health_path": "/healthz", "max_connections": 64,
                          "protocol": "h1", "tls": False, "cold_start_s": 0.0, "cold_per_s": 0.0,
                          "enforces_capacity": enforces, "standby": False}],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
        }
        deadline = time.monotonic() + 15
        number = 0
        while time.monotonic() < deadline:
            got = await self.operator("PUT", "/config", body, number)
            if got and got[0] == 200:
                self.record("config", version=self.version, status=200)
                return
            number += 1
            await asyncio.sleep(0.3)
        raise CannotRun("no configuration was accepted")

    async def operator(self, method, path, body=None, number=0):
        """One order of the operator; follows a redirect twice."""
        address = (self.ip("core", number % self.count["core"]), CONTROL_PORT)
        for _ in range(3):
            try:
                got = await call(address, method, path, body, timeout=2.0)
            except asyncio.TimeoutError:
                return None
            if not got or got[0] != 307:
                return got
            rest = got[1]["location"].split("//", 1)[1]
            host, _, tail = rest.partition("/")
            address = (host.split(":")[0], int(host.split(":")[1]))
            path = "/" + tail
        return None

    async def leader(self):
        """The core machine that answers reads of the configuration itself."""
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            for number in range(self.count["core"]):
                try:
                    got = await call(
                        (self.ip("core", number), CONTROL_PORT), "GET", "/config", timeout=1.0)
                except asyncio.TimeoutError:
                    continue
                if got and got[0] == 200:
                    return number
            await asyncio.sleep(0.1)
        raise CannotRun("no leader answers")

    async def wait_ready(self):
        deadline = time.monotonic() + 15
        while time.monotonic() < deadline:
            ready = 0
            for number in range(self.count["front"]):
                address = (self.ip("front", number), READINESS_PORT)
                try:
                    got = await call(address, "GET", "/readyz", timeout=2.0)
                except asyncio.TimeoutError:
                    continue
                ready += bool(got and got[0] == 200)
            if ready == self.count["front"]:
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.1)
        raise CannotRun("the entries do not get ready")

    async def client(self, front, method, path, body=None, deadline_ms=1500, patience=None):
        """One request of a client. Returns its status, or 'none' if no complete answer came."""
        name = path.rsplit("/", 1)[1] or path
        self.record("client-sends", front=front, method=method, job=name, deadline_ms=deadline_ms)
        headers = {"Host": HOST, "X-Deadline-Ms": str(deadline_ms)}
        wait = patience if patience is not None else deadline_ms / 1000
        answer = ""
        try:
            got = await call((self.ip("front", front), FRONTEND_PORT), method, path, body, headers,
                             timeout=wait)
            status = got[0] if got else "none"
            answer = got[2].decode() if got else ""
        except asyncio.TimeoutError:
            status = "left" if patience is not None else "deadline"
        self.record("client-gets", front=front, method=method, job=name, status=status, body=answer)
        return status, answer

    async def submit(self, front, job, body, deadline_ms=1500, patience=None, prefix=PREFIX):
        self.jobs[job] = body
        return await self.client(front, "POST", prefix + job, body, deadline_ms, patience)

    async def submit_until_accepted(self, front, job, body, prefix=PREFIX):
        """Hands a stored job in; sends it again after no response, 502, 504, 429 or 503."""
        for attempt in range(10):
            front = (front + attempt) % self.count["front"]
            status, _ = await self.submit(front, job, body, prefix=prefix)
            if isinstance(status, int) and 200 <= status < 300:
                return
            await asyncio.sleep(BOUNDS["resend_ms"] / 1000)
        raise CannotRun(f"job {job} is not accepted")

    async def state(self, front, job):
        status, answer = await self.client(front, "GET", PREFIX + job)
        if status == 200:
            return json.loads(answer)["state"]
        return str(status)

    async def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for executor in self.executors:
            if executor.up:
                await executor.stop()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def route(timeout_ms=1500, max_attempts=4, priority=0, prefix=PREFIX, name="r-3hwrr6x"):
    return {
        "name": name, "host": HOST, "path_prefix": prefix, "kind": "non_idempotent",
        "timeout_ms": timeout_ms, "target_latency_ms": 60, "priority": priority,
        "service": SERVICE, "max_attempts": max_attempts, "slack_factor": 1.6,
    }


def job_id():
    return f"{random.getrandbits(64):016x}"


def main(folder, make, play):
    """Plays a case: `play` returns the broken rule's text, or None if it held."""

    async def run():
        try:
            deployment = make(folder)
        except CannotRun as error:
            print(f"cannot run: {error}")
            return 2
        record = deployment.record
        record("case", trouble=int(TROUBLE))
        try:
            broken = await play(deployment)
        except Exception as error:  # Exit code 1 is for a broken rule only.
            record("cannot-run", why=repr(error))
            print(f"cannot run: {error!r}")
            return 2
        finally:
            await deployment.stop()
        record("result", broken=broken or "no")
        print(f"broken: {broken}" if broken else "held")
        return 1 if broken else 0

    async def limited():
        # Ends all processes also when the script is told to stop.
        asyncio.get_running_loop().add_signal_handler(
            signal.SIGTERM, asyncio.current_task().cancel)
        try:
            return await asyncio.wait_for(run(), 112)
        except (asyncio.TimeoutError, asyncio.CancelledError):
            print("cannot run: out of time")
            return 2

    sys.exit(asyncio.run(limited()))
