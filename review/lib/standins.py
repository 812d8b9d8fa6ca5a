"""Stand-ins for what surrounds the controllers: state service, cloud, workers, load balancer and
users, as the protocol page describes them. All addresses are loopback addresses."""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
from collections import deque

import wire

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
T0 = time.monotonic()


def now():
    return time.monotonic() - T0


def json_bytes(value):
    return len(json.dumps(value, separators=(",", ":"), ensure_ascii=False).encode())


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)

    def __call__(self, *words):
        self.file.write(f"{now():8.3f} " + " ".join(str(w) for w in words) + "\n")

    def say(self, *words):
        self(*words)
        print(f"{now():8.3f}", *words, flush=True)


class Rate:
    """A rate limit with bursts of one second's worth."""

    def __init__(self, per_s):
        self.per_s, self.left, self.at = per_s, per_s, now()

    def take(self, n):
        t = now()
        self.left = min(self.per_s, self.left + (t - self.at) * self.per_s)
        self.at = t
        if self.left < n:
            return False
        self.left -= n
        return True


class StateService:
    """The key-value store. Each controller has a port of its own, so that one alone can be
    refused; what they see is the same."""

    def __init__(self, rps, write_rps, value_kb, txn_ops):
        self.rate, self.write_rate = Rate(rps), Rate(write_rps)
        self.value_bytes, self.txn_ops = int(value_kb * 1024), txn_ops
        self.rev = 0
        self.keys = {}  # key -> (value, mark, lease)
        self.leases = {}  # id -> [ttl_s, ends_at]
        self.next_lease = 1
        self.changes = deque(maxlen=10_000)  # (rev, event)
        self.changed = asyncio.Event()
        self.outage = False
        self.refused = set()
        self.counts = {}  # (status, kind) -> number

    async def start(self, nodes):
        self.ports = []
        for node in range(nodes):
            _, port = await wire.serve(lambda m, p, b, n=node: self.handle(n, m, p, b))
            self.ports.append(port)
        self.ticker = asyncio.create_task(self.expire())

    def leader(self):
        found = self.keys.get("L/leader")
        return found[0]["leader"] if found else None

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            over = [i for i, (_, ends) in self.leases.items() if now() > ends]
            for lease in over:
                self.end_lease(lease)

    def end_lease(self, lease):
        del self.leases[lease]
        attached = [k for k, (_, _, tether) in self.keys.items() if tether == lease]
        if attached:
            self.apply([{"drop": k} for k in attached])

    def begin_outage(self):
        self.outage = True

    def end_outage(self):
        """Every lease has its full time again."""
        for lease in self.leases.values():
            lease[1] = now() + lease[0]
        self.outage = False
        self.changed.set()

    def apply(self, changes):
        self.rev += 1
        for change in changes:
            if "drop" in change:
                if self.keys.pop(change["drop"], None) is not None:
                    self.changes.append((self.rev, {"drop": change["drop"], "mark": self.rev}))
            else:
                key = change["write"]
                self.keys[key] = (change["v"], self.rev, change.get("tether"))
                self.changes.append((self.rev, {"write": key, "v": change["v"], "mark": self.rev}))
        self.changed.set()

    def available(self, node):
        return not self.outage and node not in self.refused

    async def handle(self, node, method, path, body):
        await asyncio.sleep(0.001)
        status, value = await self.answer(node, method, path, body)
        kind = (status, method + " " + path.split("?")[0].split("/")[1])
        self.counts[kind] = self.counts.get(kind, 0) + 1
        return status, value

    async def answer(self, node, method, path, body):
        if not self.available(node):
            return 503, None
        if not self.rate.take(1):
            return 429, None
        target, _, query = path.partition("?")
        args = dict(part.split("=", 1) for part in query.split("&") if part)
        if method == "GET" and target == "/keys":
            return self.list(args)
        if method == "GET" and target.startswith("/keys/"):
            found = self.keys.get(target[len("/keys/"):])
            if found is None:
                return 404, {"ledger_rev": self.rev}
            row = {"k": target[len("/keys/"):], "v": found[0], "mark": found[1]}
            if found[2] is not None:
                row["tether"] = found[2]
            return 200, row
        if method == "GET" and target == "/watch":
            return await self.watch(node, args)
        if method == "POST" and target == "/txn":
            return self.txn(body)
        if method == "POST" and target == "/leases":
            ttl_s = body["ttl_ms"] / 1000.0
            lease, self.next_lease = self.next_lease, self.next_lease + 1
            self.leases[lease] = [ttl_s, now() + ttl_s]
            return 200, {"tether": lease}
        if method == "POST" and target.endswith("/touch"):
            lease = self.leases.get(int(target.split("/")[2]))
            if lease is None:
                return 404, {"ledger_rev": self.rev}
            lease[1] = now() + lease[0]
            return 200, {"ledger_rev": self.rev}
        if method == "DELETE" and target.startswith("/leases/"):
            lease = int(target.split("/")[2])
            if lease not in self.leases:
                return 404, {"ledger_rev": self.rev}
            self.end_lease(lease)
            return 200, {"ledger_rev": self.rev}
        return 404, None

    def list(self, args):
        starts, after = args.get("starts", ""), args.get("from", "")
        limit = min(int(args.get("limit", 1000)), 1000)
        rows, size, more = [], 0, False
        for key in sorted(k for k in self.keys if k.startswith(starts) and k > after):
            value, mark, lease = self.keys[key]
            row = {"k": key, "v": value, "mark": mark}
            if lease is not None:
                row["tether"] = lease
            size += json_bytes(row)
            if len(rows) >= limit or (rows and size > 512 * 1024):
                more = True
                break
            rows.append(row)
        return 200, {"rows": rows, "truncated": more, "ledger_rev": self.rev}

    def txn(self, body):
        guards, changes = body.get("guards") or [], body.get("apply") or []
        if len(changes) > self.txn_ops or len(guards) > 4 * self.txn_ops:
            return 400, {"error": "too many changes or conditions"}
        if json_bytes({"guards": guards, "apply": changes}) > 64 * 1024:
            return 400, {"error": "more than 64 KiB"}
        if any("v" in c and json_bytes(c["v"]) > self.value_bytes for c in changes):
            return 400, {"error": "a value is too large"}
        for change in changes:
            if change.get("tether") is not None and change["tether"] not in self.leases:
                return 400, {"error": "no such lease"}
        if changes and not self.write_rate.take(len(changes)):
            return 429, None
        mark = lambda key: self.keys[key][1] if key in self.keys else 0
        failed = [g["k"] for g in guards if mark(g["k"]) != g["mark"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.rev}
        if changes:
            self.apply(changes)
        return 200, {"ledger_rev": self.rev}

    async def watch(self, node, args):
        starts, after = args.get("starts", ""), int(args.get("from", 0))
        until = now() + min(int(args.get("hold_ms", 0)), 60_000) / 1000.0
        while True:
            # Open watches stay open during an outage.
            if self.available(node):
                if self.changes and after + 1 < self.changes[0][0] and len(self.changes) == 10_000:
                    return 410, None
                events = [
                    e for rev, e in self.changes
                    if rev > after and (e.get("write") or e.get("drop")).startswith(starts)
                ]
                if events or now() >= until:
                    return 200, {"ledger_rev": self.rev, "events": events}
            self.changed.clear()
            wait_s = max(0.01, min(0.1, until - now()))
            try:
                await asyncio.wait_for(self.changed.wait(), wait_s)
            except asyncio.TimeoutError:
                pass


class Task:
    def __init__(self, run_s, cpus):
        self.run_s, self.cpus = run_s, cpus
        self.state, self.begins_at, self.ends_at, self.cause = "pulling", 0.0, 0.0, None


class Worker:
    """A machine that is up, and its worker."""

    def __init__(self, cloud, name, zone, spot):
        self.cloud, self.name, self.zone, self.spot = cloud, name, zone, spot
        self.ride, self.tally, self.reins = 1, 0, 0
        self.tasks = {}  # (chore, try) -> Task
        self.last_ok = now()

    async def start(self):
        self.server, self.port = await wire.serve(self.serve)
        self.loop = asyncio.create_task(self.run())

    def stop(self):
        self.loop.cancel()
        self.server.close()

    def report(self):
        self.tally += 1
        chores = []
        for (chore, attempt), task in self.tasks.items():
            row = {"chore": chore, "try": attempt, "gait": task.state}
            if task.cause:
                row["cause"] = task.cause
            chores.append(row)
        return {
            "mount": self.name, "endpoint": f"127.0.0.1:{self.port}", "box_breed": self.cloud.sku,
            "pasture": self.zone, "strays": self.spot, "ride": self.ride, "tally": self.tally,
            "reins": self.reins, "warning_s": None, "chores": chores,
        }

    def advance(self):
        t = now()
        if t - self.last_ok > self.cloud.lease_s:
            for (chore, attempt), task in self.tasks.items():
                if task.state != "exited":
                    self.cloud.record("machine", self.name, "lease over, kills", chore, attempt)
            self.tasks = {}
            self.ride += 1
            self.last_ok = t
        for (chore, attempt), task in self.tasks.items():
            if task.state == "pulling" and t >= task.begins_at:
                task.state, task.ends_at = "running", task.begins_at + task.run_s
                self.cloud.record("machine", self.name, "runs", chore, attempt)
            if task.state == "running" and t >= task.ends_at:
                task.state, task.cause = "exited", "done"
                self.cloud.completed.setdefault(chore, t)
                self.cloud.record("machine", self.name, "completed", chore, attempt)

    def execute(self, calls):
        for call in calls:
            key = (call["chore"], call["try"])
            if call["call"] == "start" and key not in self.tasks:
                job = self.cloud.jobs.get(call["chore"].split("/")[0])
                # A task whose result is kept ends as soon as it has its image.
                kept = job is None or key[0] in self.cloud.completed
                task = self.tasks[key] = Task(0.0 if kept else job["run_s"], job["cpus"] if job else 0.0)
                others = sum(t.cpus for k, t in self.tasks.items() if t.state != "exited" and k != key)
                if job is None:
                    task.state, task.cause = "exited", "unknown"
                elif any(c == key[0] and a != key[1] and t.state != "exited" for (c, a), t in self.tasks.items()):
                    task.state, task.cause = "exited", "in_use"
                elif others + job["cpus"] > self.cloud.cpus + 1e-6:
                    task.state, task.cause = "exited", "no_room"
                task.begins_at = now() + 0.5
            elif call["call"] == "stop" and key in self.tasks and self.tasks[key].state != "exited":
                self.tasks[key].state, self.tasks[key].cause = "exited", "stopped"
                self.cloud.record("machine", self.name, "stopped", *key)
            elif call["call"] == "forget" and key in self.tasks and self.tasks[key].state == "exited":
                del self.tasks[key]

    async def serve(self, method, path, body):
        self.advance()
        if path == "/status":
            return 200, self.report()
        if path != "/orders":
            return 404, None
        self.cloud.measure("direct commands", body)
        if "reins" not in body or "ride" not in body:
            return 400, None
        if body["reins"] < self.reins or body["ride"] != self.ride:
            return 409, self.report()
        self.reins = body["reins"]
        self.execute(body["calls"])
        return 200, self.report()

    async def run(self):
        ports = self.cloud.node_ports
        node = random.randrange(len(ports))
        while True:
            self.advance()
            sent, ride = now(), self.ride
            client = wire.Client(ports[node])
            report = self.report()
            self.cloud.measure("report", report)
            status, answer = await client.send("POST", "/agent/beat", report, 4.0)
            if status != 200:
                self.cloud.record(
                    "machine", self.name, "reports", len(report["chores"]), "tasks to", self.cloud.labels[node],
                    f"in {len(wire.pack(report))} bytes ->", status, answer,
                )
            for _, writer in client.idle:
                writer.close()
            self.advance()
            pause_s = self.cloud.report_s * random.uniform(0.75, 1.25)
            if status == 200:
                if ride == self.ride and answer.get("reins", -1) >= self.reins:
                    changed = answer["reins"] > self.reins or answer["calls"]
                    self.reins, self.last_ok = answer["reins"], sent
                    self.execute(answer["calls"])
                    if changed:
                        pause_s = 0.5
            elif status == 421 and (answer or {}).get("foreman") in self.cloud.labels:
                to = self.cloud.labels.index(answer["foreman"])
                pause_s = random.uniform(0.0, 0.5) if to != node else 1.0
                node = to if to != node else (node + 1) % len(ports)
            else:
                node, pause_s = (node + 1) % len(ports), 1.0
            await asyncio.sleep(pause_s)


class Cloud:
    """Rents machines of one type; `jobs` tells their workers what a job's tasks take."""

    def __init__(self, record, labels, zones, sku="mesquite-32", cpus=32.0, ram_gb=128.0, boot_s=3.0, capacity=6):
        self.record, self.labels, self.zones = record, labels, zones
        self.sku, self.cpus, self.ram_gb, self.boot_s, self.capacity = sku, cpus, ram_gb, boot_s, capacity
        self.report_s, self.lease_s = 1.0, 10.0
        self.jobs, self.machines, self.hires, self.rented = {}, {}, {}, 0
        self.node_ports = []
        self.late_boots = []  # boot times of the first machines, instead of `boot_s`
        self.completed = {}  # task -> when it first completed; its result is kept
        self.largest = {}  # the largest message of each kind: bytes as sent, and as JSON

    def measure(self, kind, value):
        self.largest[kind] = max(self.largest.get(kind, (0, 0)), (len(wire.pack(value)), json_bytes(value)))

    async def start(self):
        _, self.port = await wire.serve(self.handle)

    def die(self, name):
        """Stops a machine with all that is on it. It stays listed as running for some 30 s."""
        machine = self.machines[name]
        machine["worker"].stop()
        machine["worker"].tasks = {}
        machine["died"] = now()
        self.record("machine", name, "stops with all that is on it")

    def gait(self, machine):
        if "died" in machine and now() - machine["died"] > 30.0:
            return "failed"
        return "running" if machine["worker"] else "starting"

    async def boot(self, name):
        await asyncio.sleep(self.late_boots.pop(0) if self.late_boots else self.boot_s)
        self.record("machine", name, "is up")
        machine = self.machines.get(name)
        if machine:
            machine["worker"] = Worker(self, name, machine["pasture"], machine["strays"])
            await machine["worker"].start()

    async def handle(self, method, path, body):
        if path == "/machine_types":
            return 200, {"breeds_of_box": [{
                "sku": self.sku, "cpus": self.cpus, "accelerators": 0.0, "ram_gb": self.ram_gb,
                "local_gb": 30.0, "fetch_gb_per_s": 0.5, "hourly": 2.46, "spot_price": 0.65,
                "startup_s": self.boot_s, "pastures": self.zones,
            }]}
        if path == "/machines" and method == "POST":
            if body["hire"] in self.hires:
                return 200, {"mounts": self.hires[body["hire"]]}
            count = min(body["count"], self.capacity - len(self.machines), 50)
            if count <= 0:
                return 503, {"error": "no capacity"}
            names = []
            for _ in range(count):
                self.rented += 1
                name = f"vm-{self.rented:06d}"
                names.append(name)
                self.machines[name] = {
                    "pasture": body["pasture"], "strays": body["strays"], "at": now(), "worker": None,
                }
                asyncio.create_task(self.boot(name))
            self.hires[body["hire"]] = names
            return 200, {"mounts": names}
        if path == "/machines/delete":
            for name in body["mounts"]:
                self.record("machine", name, "is deleted")
                machine = self.machines.pop(name, None)
                if machine and machine["worker"]:
                    machine["worker"].stop()
            return 200, {}
        if path.startswith("/machines"):
            rows = []
            for name, m in sorted(self.machines.items()):
                worker = m["worker"]
                rows.append({
                    "name_id": name, "endpoint": f"127.0.0.1:{worker.port}" if worker else None,
                    "box_breed": self.sku, "pasture": m["pasture"], "strays": m["strays"],
                    "gait": self.gait(m), "held_s": now() - m["at"],
                })
            return 200, {"mounts": rows, "truncated": False}
        return 404, None


def free_ports(count):
    held = [socket.socket() for _ in range(count)]
    for s in held:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in held]
    for s in held:
        s.close()
    return ports


class Service:
    """Three controllers as processes, started as the deploy file says."""

    all = []

    def __init__(self, record, state_limits, nodes=3):
        Service.all.append(self)
        self.record, self.count = record, nodes
        self.labels = [f"stallion-{n}" for n in range(nodes)]
        self.zones = ["austin-rack", "lubbock-colo", "houston-cloud"]
        self.limits = state_limits
        self.children = [None] * nodes
        self.dir = tempfile.mkdtemp(prefix="review-")
        self.state = StateService(**state_limits)
        self.cloud = Cloud(record, self.labels, self.zones)

    async def start(self):
        with open(os.path.join(ROOT, "deploy/service.toml")) as f:
            run = next(l for l in f if l.startswith("run")).split("=", 1)[1].strip().strip('"')
        self.command = run.split()
        self.command[0] = os.path.join(ROOT, self.command[0])
        if not os.path.exists(self.command[0]):
            raise RuntimeError(f"{self.command[0]} is not built")
        await self.state.start(self.count)
        await self.cloud.start()
        ports = free_ports(2 * self.count)
        self.ports, self.peer_ports = ports[:self.count], ports[self.count:]
        self.cloud.node_ports = self.ports
        for node in range(self.count):
            with open(os.path.join(self.dir, f"{node}.toml"), "w") as f:
                f.write(self.settings(node))
            self.spawn(node)

    def settings(self, node):
        lines = [
            f'label = "{self.labels[node]}"', f'zone = "{self.zones[node % 3]}"',
            f'serve_on = "127.0.0.1:{self.ports[node]}"',
            f'internal_addr = "127.0.0.1:{self.peer_ports[node]}"', "",
        ]
        for other in range(self.count):
            if other != node:
                lines += [
                    "[[members]]", f'label = "{self.labels[other]}"', f'zone = "{self.zones[other % 3]}"',
                    f'endpoint = "127.0.0.1:{self.peer_ports[other]}"', "",
                ]
        lines += [
            "[services]", f'cloud = "127.0.0.1:{self.cloud.port}"',
            f'state = "127.0.0.1:{self.state.ports[node]}"', "",
            "[deployment]", f"nodes = {self.count}",
            'zones = ["austin-rack", "houston-cloud", "lubbock-colo"]', "time_bound_ms = 1000.0", "",
            "[[deployment.teams]]", 'name = "mapdesk"', "cpus = 528.0", "cpus_max = 1312.0",
            "gpus = 0.0", "gpus_max = 0.0", "",
            "[deployment.workers]", "report_s = 1.0", "lease_s = 10.0", "gang_wait_s = 50.0",
            "gang_peer_s = 4.0", "cancel_s = 40.0", "",
            "[deployment.state]", f"rps = {float(self.limits['rps'])}",
            f"write_rps = {float(self.limits['write_rps'])}",
            f"value_kb = {float(self.limits['value_kb'])}", f"txn_ops = {self.limits['txn_ops']}", "",
            "[deployment.cloud]", "rps = 3.0", "list_lag_s = 10.0", "",
            "[deployment.limits]", "core_share = 0.16", "mem_mb = 56.0", "sockets = 700", "",
        ]
        return "\n".join(lines)

    def spawn(self, node):
        log = open(os.path.join(self.dir, f"{node}.log"), "a")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        path = os.path.join(self.dir, f"{node}.toml")
        self.children[node] = subprocess.Popen(self.command + [path], stderr=log, env=env)
        self.record("controller", self.labels[node], "started")

    def kill(self, node):
        self.children[node].send_signal(signal.SIGKILL)
        self.children[node].wait()
        self.record("controller", self.labels[node], "killed")

    def stop(self):
        for child in self.children:
            if child and child.poll() is None:
                child.kill()
                child.wait()
        if os.environ.get("KEEP_LOGS"):
            print("logs in", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)

    async def ready(self, timeout_s=20.0):
        """Waits until there is a leader and every controller is healthy; returns the leader."""
        until = now() + timeout_s
        clients = [wire.Client(p) for p in self.ports]
        while now() < until:
            healthy = [(await c.send("GET", "/healthz", None, 1.0))[0] == 200 for c in clients]
            if all(healthy) and self.state.leader() in self.labels:
                return self.labels.index(self.state.leader())
            await asyncio.sleep(0.1)
        raise RuntimeError("the service did not become ready")


def array(name_id, **fields):
    job = {
        "name_id": name_id, "herd": "tile-rebuild", "crew": "mapdesk", "breed": "array", "rank": "normal",
        "chores": 1, "cpus": 2.0, "accelerators": 0.0, "ram_gb": 7.2, "saddle": "img-01", "pull_gb": 1.0,
        "breeds_of_box": None, "pasture": None, "together": False, "apart": False, "strays": True,
        "guess_s": 20.0, "brand_s": 0.0, "stow_s": 0.0, "due_s": None,
    }
    job.update(fields)
    return job


async def submit(client, job, record, for_s=60.0):
    """Submits as a user does, again after a second, for up to 60 s. Returns the last status."""
    until, status = now() + for_s, None
    while True:
        status, answer = await client.send("POST", "/submissions", job, 5.0)
        record("user submits", job["name_id"], "at", client.port, "->", status, answer)
        if status in (200, 201, 400, 422) or now() > until:
            return status
        await asyncio.sleep(1.0)


async def cancel(client, name_id, record, for_s=30.0):
    until = now() + for_s
    while True:
        status, answer = await client.send("POST", f"/submissions/{name_id}/cancel", None, 5.0)
        record("user cancels", name_id, "at", client.port, "->", status, answer)
        if status == 200 or now() > until:
            return answer["gait"] if status == 200 else None
        await asyncio.sleep(1.0)


def main(case, folder):
    """Runs the case; exit code 0: the rule held, 1: broken, 2: the case couldn't run."""
    import sys
    import traceback

    record = Record(os.path.join(folder, "record.txt"))

    def leave(code):
        # At once: open requests of the stand-ins aren't waited for.
        record.say("exit code", code)
        sys.stdout.flush()
        os._exit(code)

    async def run():
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda loop, context: None)
        def give_up(why):
            record.say("could not run:", why)
            for service in Service.all:
                service.stop()
            leave(2)

        for end in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(end, give_up, "it was told to end")
        loop.call_later(117.0, give_up, "it took too long")
        try:
            code = await case(record, os.environ.get("TROUBLE") != "0")
        except BaseException as e:
            record.say("could not run:", repr(e))
            traceback.print_exc()
            code = 2
        leave(code)

    asyncio.run(run())
