"""Stand-ins of the state service, the cloud, the workers and the users, for the
cases in review/. They follow the protocol pages; disruptions are switched on by the
script of a case. Everything listens on 127.0.0.1 and runs in one asyncio loop."""
import asyncio, collections, json, os, random, signal, socket, subprocess, sys, time

HOST = "127.0.0.1"

# A script that is ended early still ends the controllers that it started.
signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))


HELD = []


def free_port():
    """A free port below the range from which outgoing connections take theirs. A socket that
    does not listen holds it, so that no script that runs beside this one takes it too."""
    while True:
        held = socket.socket()
        try:
            held.bind((HOST, random.SystemRandom().randrange(12000, 32000)))
        except OSError:
            held.close()
            continue
        # The program that the port is for can now listen on it all the same.
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        HELD.append(held)
        return held.getsockname()[1]


class Reset(Exception):
    """Raised by a handler to close the connection without an answer."""


async def read_message(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            k, v = line.split(":", 1)
            headers[k.strip().lower()] = v.strip()
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).strip() or b"0", 16)
            chunk = await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
            body += chunk
    else:
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    return lines[0], headers, body


def http_server(handler):
    """handler(method, path, body) -> (status, object)."""

    async def serve(reader, writer):
        try:
            while True:
                line, headers, body = await read_message(reader)
                method, path, _ = line.split(" ", 2)
                if path.startswith("http://"):
                    path = "/" + path.split("/", 3)[3]
                status, answer = await handler(method, path, body)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\ncontent-length: %d\r\n\r\n"
                    % (status, len(data)) + data)
                await writer.drain()
                if headers.get("connection", "").lower() == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError, Reset, asyncio.LimitOverrunError,
                asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return serve


class Connection:
    """One HTTP connection to a controller, opened when needed."""

    def __init__(self, port):
        self.port, self.reader, self.writer = port, None, None

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    async def call(self, method, path, body=None, timeout=2.0):
        """Returns (status, object, headers); status 0 if there is no answer."""
        try:
            return await asyncio.wait_for(self._call(method, path, body), timeout)
        except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError, ValueError) as e:
            self.close()
            return 0, {"error": type(e).__name__}, {}

    async def _call(self, method, path, body):
        if self.writer is None or self.writer.is_closing():
            self.reader, self.writer = await asyncio.open_connection(HOST, self.port)
        data = b"" if body is None else json.dumps(body).encode()
        self.writer.write(
            ("%s %s HTTP/1.1\r\nhost: %s:%d\r\ncontent-type: application/json\r\n"
             "content-length: %d\r\n\r\n" % (method, path, HOST, self.port, len(data))).encode() + data)
        await self.writer.drain()
        line, headers, answer = await read_message(self.reader)
        if headers.get("connection", "").lower() == "close":
            self.close()
        status = int(line.split(" ")[1])
        try:
            return status, json.loads(answer or b"{}"), headers
        except ValueError:
            return status, {}, headers


class Proxy:
    """A TCP proxy for one direction of calls. mode: pass, hold, refuse (reset at once),
    silent (accepts, forwards nothing)."""

    def __init__(self, target):
        self.port, self.target, self.mode, self.open = free_port(), target, "pass", set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, HOST, self.port)

    async def wait_pass(self):
        while self.mode in ("hold", "silent"):
            await asyncio.sleep(0.02)

    async def pump(self, reader, writer):
        try:
            while True:
                data = await reader.read(65536)
                await self.wait_pass()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    def reset_all(self):
        for w in list(self.open):
            w.transport.abort()

    async def serve(self, reader, writer):
        if self.mode == "refuse":
            writer.transport.abort()
            return
        self.open.add(writer)
        await self.wait_pass()
        try:
            r2, w2 = await asyncio.open_connection(HOST, self.target)
        except OSError:
            writer.transport.abort()
            self.open.discard(writer)
            return
        self.open.add(w2)
        try:
            await asyncio.gather(self.pump(reader, w2), self.pump(r2, writer))
        except asyncio.CancelledError:
            pass
        self.open.discard(writer)
        self.open.discard(w2)


class State:
    """The state service; one port for each controller, so that it can tell them apart."""

    def __init__(self, world, limits):
        self.w, self.limits = world, limits
        self.rev, self.kv, self.leases, self.next_lease = 100, {}, {}, 1
        self.log = collections.deque(maxlen=10000)
        self.changed = asyncio.Event()
        self.outage, self.refused = False, set()
        self.delay = {}  # node -> seconds
        self.late = None  # (share, least, most): no answer, carried out late
        self.lost = None  # share: carried out at once, answer lost
        self.lost_for = None  # predicate(node, writes) -> bool
        self.ports = []
        self.tokens, self.wtokens, self.at = limits["rps"], limits["write_rps"], time.monotonic()
        self.over = 0

    async def start(self, nodes):
        for i in range(nodes):
            port = free_port()
            await asyncio.start_server(
                http_server(lambda m, p, b, i=i: self.handle(i, m, p, b)), HOST, port, limit=1 << 20)
            self.ports.append(port)
        self.w.spawn(self.expire_loop())

    def set_outage(self, on):
        self.outage = on
        if not on:
            for l in self.leases.values():
                l[0] = time.monotonic() + l[1]

    async def expire_loop(self):
        while True:
            await asyncio.sleep(0.02)
            if self.outage:
                continue
            now = time.monotonic()
            for lease in [k for k, l in self.leases.items() if now > l[0] + 0.03]:
                self.end_lease(lease)

    def end_lease(self, lease):
        if lease in self.leases:
            del self.leases[lease]
            drops = [k for k, v in self.kv.items() if v[2] == lease]
            if drops:
                self.apply([{"drop": k} for k in drops])

    def apply(self, writes):
        self.rev += 1
        for write in writes:
            if "set" in write:
                self.kv[write["set"]] = (write["data"], self.rev, write.get("hold"))
                self.log.append((self.rev, {"set": write["set"], "data": write["data"], "key_rev": self.rev}))
            else:
                if self.kv.pop(write["drop"], None) is not None:
                    self.log.append((self.rev, {"drop": write["drop"], "key_rev": self.rev}))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.rev

    def over_limit(self, writes):
        now = time.monotonic()
        dt, self.at = now - self.at, now
        l = self.limits
        self.tokens = min(l["rps"], self.tokens + dt * l["rps"])
        self.wtokens = min(l["write_rps"], self.wtokens + dt * l["write_rps"])
        if self.tokens < 1 or self.wtokens < writes:
            self.over += 1
            return True
        self.tokens -= 1
        self.wtokens -= writes
        return False

    async def handle(self, node, method, path, body):
        if self.outage or node in self.refused:
            return 503, {"error": "unavailable"}
        path, _, query = path.partition("?")
        q = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
        msg = json.loads(body) if body else {}
        writes = msg.get("writes", []) if path == "/txn" else []
        if self.over_limit(len(writes)):
            return 429, {"error": "too many requests"}
        delay = self.delay.get(node, 0)
        await asyncio.sleep(0.002 + delay)
        if path == "/txn":
            if self.lost_for and self.lost_for(node, writes):
                status, answer = self.txn(msg)
                self.w.note("state", "answer lost", node=node, status=status, writes=writes)
                await asyncio.sleep(30)
                raise Reset()
            if self.late and random.random() < self.late[0]:
                await asyncio.sleep(random.uniform(*self.late[1:]))
                self.w.note("state", "late", node=node, result=self.txn(msg)[0], writes=[x.get("set") or x.get("drop") for x in writes])
                raise Reset()
            if self.lost and random.random() < self.lost:
                self.txn(msg)
                await asyncio.sleep(10)
                raise Reset()
            return self.txn(msg)
        if path.startswith("/kv/"):
            item = self.kv.get(path[4:])
            if item is None:
                return 404, {"ledger_rev": self.rev}
            return 200, {"key": path[4:], "data": item[0], "key_rev": item[1], "hold": item[2]}
        if path == "/kv":
            under, after, most = q.get("under", ""), q.get("from", ""), min(int(q.get("most", 1000)), 1000)
            keys = sorted(k for k in self.kv if k.startswith(under) and k > after)
            rows, size = [], 0
            for k in keys[:most]:
                row = {"key": k, "data": self.kv[k][0], "key_rev": self.kv[k][1]}
                size += len(json.dumps(row))
                if size > 500 * 1024:
                    break
                rows.append(row)
            return 200, {"rows": rows, "more": len(rows) < len(keys), "ledger_rev": self.rev}
        if path == "/leases":
            lease, ttl = self.next_lease, msg["life_ms"] / 1000
            self.next_lease += 1
            self.leases[lease] = [time.monotonic() + ttl, ttl]
            return 200, {"hold": lease}
        if path.startswith("/leases/"):
            parts = path.split("/")
            lease = int(parts[2])
            if lease not in self.leases:
                return 404, {}
            if method == "DELETE":
                self.end_lease(lease)
            else:
                self.leases[lease][0] = time.monotonic() + self.leases[lease][1]
            return 200, {}
        if path == "/watch":
            start, under = int(q["from"]), q.get("under", "")
            until = time.monotonic() + min(int(q.get("wait_ms", 0)), 60000) / 1000
            while True:
                if self.log and start < self.log[0][0] - 1 and len(self.log) == self.log.maxlen:
                    return 410, {}
                rows = [e for r, e in self.log if r > start and (e.get("set") or e.get("drop")).startswith(under)]
                open_ = not self.outage and node not in self.refused
                if open_ and (rows or time.monotonic() >= until):
                    return 200, {"ledger_rev": self.rev, "log": rows}
                try:
                    await asyncio.wait_for(self.changed.wait(), max(0.05, min(0.5, until - time.monotonic())))
                except asyncio.TimeoutError:
                    pass
        return 400, {"error": "no such path"}

    def txn(self, msg):
        writes = msg.get("writes", [])
        if len(json.dumps(msg, separators=(",", ":"), ensure_ascii=False).encode()) > 64 * 1024:
            self.w.note("state", "transaction too large", writes=len(writes))
            return 400, {"error": "too large"}
        if len(writes) > self.limits["txn_ops"] or len(msg.get("guards", [])) > 4 * self.limits["txn_ops"]:
            self.w.note("state", "too many", writes=len(writes), guards=len(msg.get("guards", [])))
            return 400, {"error": "too many"}
        for x in writes:
            if "set" in x:
                if len(json.dumps(x["data"], separators=(",", ":"), ensure_ascii=False).encode()) > self.limits["value_kb"] * 1024:
                    self.w.note("state", "too large", key=x["set"])
                    return 400, {"error": "too large"}
                if x.get("hold") is not None and x["hold"] not in self.leases:
                    return 400, {"error": "no such lease"}
        failed = [g["key"] for g in msg.get("guards", [])
                  if (self.kv[g["key"]][1] if g["key"] in self.kv else 0) != g["key_rev"]]
        if failed:
            return 409, {"failed": failed, "ledger_rev": self.rev}
        return 200, {"ledger_rev": self.apply(writes) if writes else self.rev}


class Cloud:
    def __init__(self, world, rigs, boot=(1.0, 3.0), capacity=40, lag=1.0):
        self.w, self.rigs, self.boot, self.capacity, self.lag = world, rigs, boot, capacity, lag
        self.machines, self.asks, self.count = {}, {}, 0
        self.snapshots = collections.deque()
        self.outage = False

    async def start(self):
        self.port = free_port()
        await asyncio.start_server(http_server(self.handle), HOST, self.port, limit=1 << 20)

    def rent(self, rig, hall, spot):
        self.count += 1
        name = "i-%06d" % self.count
        worker = Worker(self.w, name, rig, hall, spot)
        self.machines[name] = worker
        self.w.workers[name] = worker
        self.w.spawn(worker.run(random.uniform(*self.boot)))
        self.snap()
        return name

    def snap(self):
        rows = [{"ref": m.name, "addr": m.addr(0), "rig": m.rig["sku"], "hall": m.hall, "lendback": m.spot,
                 "stage": "running" if m.up else "booting", "age_s": time.monotonic() - m.born}
                for m in self.machines.values() if not m.gone]
        self.snapshots.append((time.monotonic(), rows))
        while len(self.snapshots) > 1 and self.snapshots[1][0] < time.monotonic() - 10:
            self.snapshots.popleft()

    async def handle(self, method, path, body):
        await asyncio.sleep(0.05)
        if self.outage:
            return 503, {"error": "trouble"}
        path, _, query = path.partition("?")
        if path == "/machine_types":
            return 200, {"rigs": self.rigs}
        msg = json.loads(body) if body else {}
        if path == "/hosts" and method == "POST":
            if msg["hire_ask"] not in self.asks:
                live = sum(not m.gone for m in self.machines.values())
                count = min(msg["count"], self.capacity - live)
                if count <= 0:
                    return 503, {"error": "no capacity"}
                rig = next(r for r in self.rigs if r["sku"] == msg["rig"])
                self.asks[msg["hire_ask"]] = [self.rent(rig, msg["hall"], msg["lendback"]) for _ in range(count)]
                self.w.note("cloud", "rented", posts=self.asks[msg["hire_ask"]])
            return 200, {"posts": self.asks[msg["hire_ask"]]}
        if path == "/hosts/release":
            for name in msg["posts"]:
                if name in self.machines:
                    self.machines[name].remove()
            self.w.note("cloud", "released", posts=msg["posts"])
            self.snap()
            return 200, {}
        if path == "/hosts":
            self.snap()
            q = dict(p.split("=", 1) for p in query.split("&") if "=" in p)
            at = time.monotonic() - self.lag
            rows = [s for t, s in self.snapshots if t <= at]
            rows = rows[-1] if rows else []
            rows = sorted((r for r in rows if r["ref"] > q.get("from", "")), key=lambda r: r["ref"])
            most = int(q.get("most", 500))
            return 200, {"posts": rows[:most], "more": len(rows) > most}
        return 400, {}


class Task:
    def __init__(self, name, attempt, spec):
        self.name, self.attempt, self.spec = name, attempt, spec
        self.stage, self.cause, self.stored, self.fails = "pulling", None, False, False
        self.left = 0.0

    def report(self):
        r = {"piece": self.name, "try": self.attempt, "stage": self.stage}
        if self.cause:
            r["exit_cause"] = self.cause
        if self.stored:
            r["stored"] = True
        return r


class Worker:
    def __init__(self, world, name, rig, hall, spot):
        self.w, self.name, self.rig, self.hall, self.spot = world, name, rig, hall, spot
        self.ports = [free_port() for _ in world.nodes]
        self.up = self.gone = False
        self.born = time.monotonic()
        self.hung_until = 0.0
        self.copies = None  # (share, least, most): a copy of a report arrives again, late
        self.deaf_until = 0.0  # answers and commands to it are lost
        self.mute_until = 0.0  # reaches no controller
        self.slow_do = 0.0
        self.sick = False  # every task that it starts fails
        self.answered = asyncio.Event()  # set when a report was answered
        self.hold_command = None  # predicate(orders): the command is held up for hold_for seconds
        self.hold_for = 0.0
        self.tenure, self.tick, self.baton, self.tasks = 1, 0, 0, {}
        self.node = random.randrange(len(world.nodes))
        self.changed = asyncio.Event()
        self.conns = {}
        self.servers = []

    def addr(self, node):
        return "%s:%d" % (HOST, self.ports[node])

    def hung(self):
        return time.monotonic() < self.hung_until

    def remove(self):
        if not self.gone:
            self.gone, self.up = True, False
            self.kill_all("released")
            for s in self.servers:
                s.close()

    def kill_all(self, why):
        for t in self.tasks.values():
            if t.stage in ("running", "gathering", "saving"):
                self.w.left(t, self, why)
        self.tasks.clear()

    async def run(self, boot):
        await asyncio.sleep(boot)
        if self.gone:
            return
        self.up = True
        for i, port in enumerate(self.ports):
            self.servers.append(await asyncio.start_server(
                http_server(lambda m, p, b, i=i: self.handle(i, m, p, b)), HOST, port, limit=1 << 20))
        self.lease_from = time.monotonic()
        self.w.spawn(self.task_loop())
        await self.report_loop()

    async def task_loop(self):
        last = time.monotonic()
        lease = self.w.cluster["workers"]["lease_s"]
        while not self.gone:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            dt, last = now - last, now
            # A machine that hangs goes on only within its lease, so the lease ends meanwhile.
            if now > self.lease_from + lease:
                self.w.note("worker", "lease over", post=self.name, tenure=self.tenure, lost=list(self.tasks))
                self.kill_all("lease")
                self.tenure += 1
                self.lease_from = now
                self.changed.set()
            if self.hung():
                continue
            for t in list(self.tasks.values()):
                if t.stage == "pulling":
                    t.left -= dt
                    if t.left <= 0:
                        if t.name in self.w.results:
                            t.stage, t.cause = "ended", "done"
                        elif t.spec["run_shape"] == "gang":
                            t.stage, t.left = "gathering", self.w.cluster["workers"]["gang_wait_s"]
                            self.w.entered(t, self)
                            self.w.gangs[(t.name.rpartition("/")[0], t.attempt)][t.name] = (t, self)
                        else:
                            t.stage, t.fails = "running", self.sick
                            t.left = 0.3 if self.sick else self.w.run_time(t)
                            self.w.entered(t, self)
                        self.changed.set()
                elif t.stage == "gathering":
                    t.left -= dt
                    if t.left <= 0:
                        t.stage, t.cause = "ended", "incomplete"
                        self.w.left(t, self, "incomplete")
                        self.changed.set()
                elif t.stage == "saving":
                    t.left -= dt
                    if t.left <= 0:
                        t.stage, t.cause, t.stored = "ended", "stopped", True
                        self.w.left(t, self, "stopped")
                        self.changed.set()
                elif t.stage == "running" and t.spec["run_shape"] == "gang":
                    pass
                elif t.stage == "running" and t.left is not None:
                    t.left -= dt
                    if t.left <= 0 and t.fails:
                        t.stage, t.cause = "ended", "error"
                        self.w.left(t, self, "error")
                        self.changed.set()
                    elif t.left <= 0:
                        t.stage, t.cause = "ended", "done"
                        self.w.completed(t, self)
                        self.changed.set()

    def body(self, node):
        self.tick += 1
        return {"post": self.name, "addr": self.addr(node), "rig": self.rig["sku"], "hall": self.hall,
                "lendback": self.spot, "tenure": self.tenure, "tick": self.tick, "baton": self.baton,
                "reclaim_in_s": None, "pieces": [t.report() for t in self.tasks.values()]}

    async def wait_awake(self):
        while self.hung():
            await asyncio.sleep(0.02)

    async def report_loop(self):
        every = self.w.cluster["workers"]["report_s"]
        while not self.gone:
            await self.wait_awake()
            self.changed.clear()
            body, sent, node = self.body(self.node), time.monotonic(), self.node
            if time.monotonic() < self.mute_until or self.w.cut(node, self):
                await asyncio.sleep(4)
                status, answer = 0, {}
            else:
                if self.copies and random.random() < self.copies[0]:
                    self.w.spawn(self.send_copy(body, random.uniform(*self.copies[1:])))
                conn = self.conns.setdefault(node, Connection(self.w.nodes[node].listen))
                status, answer, _ = await conn.call("POST", "/agent/beat", body, 4.0)
                if time.monotonic() < self.deaf_until:
                    await asyncio.sleep(max(0.0, sent + 4 - time.monotonic()))
                    status, answer = 0, {}
            await self.wait_awake()
            if time.monotonic() > sent + 4:
                status = 0
            pause = every * random.uniform(0.75, 1.25)
            if status == 200:
                if body["tenure"] == self.tenure and answer.get("baton", -1) >= self.baton:
                    if answer["baton"] > self.baton:
                        self.changed.set()
                    self.baton = answer["baton"]
                    self.lease_from = max(self.lease_from, sent)
                    self.execute(answer.get("orders", []), report_sent=sent - self.w.start_time)
                    self.answered.set()
                    self.answered = asyncio.Event()
            elif status == 421 and answer.get("foreman") in self.w.names and answer["foreman"] != self.w.nodes[node].name:
                self.conns.pop(node).close()
                self.node = self.w.names[answer["foreman"]]
                await asyncio.sleep(random.uniform(0, 0.3))
                continue
            else:
                if node in self.conns:
                    self.conns.pop(node).close()
                self.node = (node + 1) % len(self.w.nodes)
                await asyncio.sleep(1.0)
                continue
            await asyncio.sleep(0.5)
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.01, pause - 0.5))
            except asyncio.TimeoutError:
                pass

    async def send_copy(self, body, after):
        await asyncio.sleep(after)
        for n in self.w.nodes:
            conn = Connection(n.listen)
            status, _, _ = await conn.call("POST", "/agent/beat", body, 4.0)
            conn.close()
            if status == 200:
                self.w.note("worker", "late copy answered", post=self.name, tick=body["tick"])

    async def handle(self, node, method, path, body):
        if self.w.cut(node, self) or time.monotonic() < self.deaf_until:
            await asyncio.sleep(3600)
        if self.slow_do:
            await asyncio.sleep(self.slow_do)
        if path == "/do" and self.hold_command and self.hold_command(json.loads(body)["orders"]):
            self.w.note("network", "command held up", post=self.name, for_s=self.hold_for, command=json.loads(body))
            await asyncio.sleep(self.hold_for)
        await self.wait_awake()
        if self.gone:
            raise Reset()
        if path == "/do":
            msg = json.loads(body)
            if "baton" not in msg or "tenure" not in msg:
                return 400, {}
            if msg["baton"] < self.baton or msg["tenure"] != self.tenure:
                self.w.note("worker", "command refused", post=self.name, command=msg, baton=self.baton, tenure=self.tenure)
                return 409, self.body(node)
            if msg["baton"] > self.baton:
                self.baton = msg["baton"]
            self.execute(msg["orders"])
        self.changed.set()
        return 200, self.body(node)

    def execute(self, orders, report_sent=None):
        for o in orders:
            key = (o["piece"], o["try"])
            t = self.tasks.get(key)
            how = {} if report_sent is None else {"in_answer_to_report_sent_at": round(report_sent, 3)}
            self.w.note("worker", o["verb"], post=self.name, piece=o["piece"], attempt=o["try"], **how)
            if o["verb"] == "launch" and self.w.on_launch:
                self.w.on_launch(self, o["piece"], report_sent)
            if o["verb"] == "launch":
                if t:
                    continue
                t = self.tasks[key] = Task(o["piece"], o["try"], None)
                job, _, num = o["piece"].rpartition("/")
                spec = self.w.specs.get(job)
                if spec is None or int(num) >= spec["pieces"]:
                    self.w.note("worker", "no such task", post=self.name, piece=o["piece"])
                    t.stage, t.cause = "ended", "no_such"
                elif any(x.name == t.name and x is not t and x.stage != "ended" for x in self.tasks.values()):
                    t.stage, t.cause = "ended", "in_use"
                else:
                    t.spec, t.left = spec, spec.get("_pull", 0.3)
            elif (o["verb"] == "halt" and t and t.stage == "running" and t.spec["snapshot_every_s"] > 0
                  and o["wind_down_s"] >= t.spec["snapshot_cost_s"]):
                t.stage, t.left = "saving", t.spec["snapshot_cost_s"]
            elif o["verb"] == "halt" and t and t.stage == "saving" and o["wind_down_s"] > 0:
                pass
            elif o["verb"] == "halt" and t and t.stage != "ended":
                if t.stage in ("running", "gathering", "saving"):
                    self.w.left(t, self, "stopped")
                t.stage, t.cause = "ended", "stopped"
            elif o["verb"] == "reap" and t and t.stage == "ended":
                del self.tasks[key]
        if orders:
            self.changed.set()


class Node:
    def __init__(self, name, zone):
        self.name, self.zone = name, zone
        self.listen, self.back = free_port(), free_port()
        self.process = None
        self.program = None  # instead of that of the deploy file
        self.peers = {}


class World:
    """The whole installation, and the checks of the rules."""

    def __init__(self, cluster, rigs, folder, nodes=3, log_level=None, **cloud):
        self.cluster, self.folder = cluster, folder
        zones = cluster["zones"]
        self.nodes = [Node("winchpost-%d" % i, zones[i % len(zones)]) for i in range(nodes)]
        self.names = {n.name: i for i, n in enumerate(self.nodes)}
        self.state = State(self, cluster["state"])
        self.cloud = Cloud(self, rigs, **cloud)
        self.workers, self.specs, self.results = {}, {}, set()
        self.on, self.usage = {}, collections.Counter()
        self.done_tasks = collections.defaultdict(set)
        self.broken, self.told, self.cancel_told, self.accepted = [], {}, {}, {}
        self.cuts = set()
        self.on_launch = None  # called with worker, task and when the answered report was sent
        self.on_start = None  # called with worker and task, once the task has its image
        self.gangs = collections.defaultdict(dict)
        self.tasks = set()
        self.start_time = time.monotonic()
        self.starts = 0
        self.record = open(os.path.join(folder, "record.txt"), "w")
        self.log_level = log_level
        self.tmp = None

    def spawn(self, work):
        t = asyncio.ensure_future(work)
        self.tasks.add(t)
        t.add_done_callback(self.finished)
        return t

    def finished(self, t):
        self.tasks.discard(t)
        if not t.cancelled() and t.exception():
            import traceback
            self.note("stand-in", "error", error="".join(traceback.format_exception(t.exception()))[-800:])

    def now(self):
        return time.monotonic() - self.start_time

    def note(self, who, what, **more):
        self.record.write("%8.3f %s %s %s\n" % (self.now(), who, what, json.dumps(more, default=str) if more else ""))

    def breaks(self, rule, **more):
        self.broken.append((rule, more))
        self.note("RULE", rule, **more)

    def cut(self, node, worker):
        return (node, None) in self.cuts or (node, worker.name) in self.cuts

    async def gang_loop(self):
        last = time.monotonic()
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            dt, last = now - last, now
            for (job, attempt), members in list(self.gangs.items()):
                pieces = self.specs[job]["pieces"]
                here = [(t, m) for t, m in members.values()
                        if m.tasks.get((t.name, attempt)) is t and t.stage in ("gathering", "running", "saving")]
                running = [x for x in here if x[0].stage == "running"]
                if not here:
                    if len(members) == pieces or all(t.stage == "ended" for t, _ in members.values()):
                        del self.gangs[(job, attempt)]
                elif not running:
                    if len(here) == pieces and all(t.stage == "gathering" and not m.hung() for t, m in here):
                        for t, m in here:
                            t.stage, t.left = "running", t.spec.get("_run", t.spec["expected_s"])
                            m.changed.set()
                elif len(running) < pieces or any(m.hung() for _, m in running):
                    for t, m in running:
                        t.alone = getattr(t, "alone", 0) + dt
                        if t.alone > self.cluster["workers"]["gang_peer_s"] * 0.8 and not m.hung():
                            t.stage, t.cause = "ended", "peers"
                            self.left(t, m, "peers")
                            m.changed.set()
                else:
                    for t, m in running:
                        t.left -= dt
                    if running[0][0].left <= 0:
                        for t, m in running:
                            t.stage, t.cause = "ended", "done"
                            self.completed(t, m)
                            m.changed.set()

    def check_place(self, t, worker):
        spec, job = t.spec, t.name.rpartition("/")[0]
        zones = collections.Counter()
        for name, where in self.on.items():
            if name.rpartition("/")[0] == job and name != t.name:
                for m in where:
                    zones[self.workers[m].hall] += 1
        bad = ((spec["rigs"] and worker.rig["sku"] not in spec["rigs"]) or (spec["hall"] and spec["hall"] != worker.hall)
               or (worker.spot and not spec["lendback"])
               or (spec["same_place"] and any(z != worker.hall for z in zones))
               or (spec["apart"] and zones[worker.hall] + 1 > (spec["pieces"] + 1) // 2))
        if bad:
            self.breaks("wrong_place", piece=t.name, post=worker.name, hall=worker.hall, others=dict(zones))

    # rules on tasks
    def run_time(self, t):
        return None if t.spec["run_shape"] == "standing" else t.spec.get("_run", t.spec["expected_s"])

    def entered(self, t, worker):
        self.starts += 1
        job = t.name.rpartition("/")[0]
        self.note("worker", "runs", post=worker.name, piece=t.name, attempt=t.attempt)
        if self.on_start:
            self.on_start(worker, t.name)
        others = [m for m in self.on.get(t.name, {}) if m != worker.name]
        if others:
            self.breaks("ran_twice", piece=t.name, on=others, starts_on=worker.name)
        self.check_place(t, worker)
        self.on.setdefault(t.name, {})[worker.name] = t.attempt
        team = t.spec["owner_crew"]
        self.usage[team] += t.spec["cores"]
        limit = next((x["cpus_max"] for x in self.cluster["teams"] if x["name"] == team), 0)
        if limit and self.usage[team] > limit + 1e-6:
            self.breaks("quota", team=team, used=self.usage[team], limit=limit)
        told = self.cancel_told.get(job)
        if told is not None and self.now() > told + self.cluster["workers"]["cancel_s"]:
            self.breaks("ran_cancelled", piece=t.name, told=told)
        for d in t.spec.get("waits_on") or []:
            if len(self.done_tasks[d]) < self.specs[d]["pieces"]:
                self.breaks("too_early", piece=t.name, waits_on=d)

    def left(self, t, worker, why):
        self.note("worker", "gone", post=worker.name, piece=t.name, why=why)
        self.on.get(t.name, {}).pop(worker.name, None)
        self.usage[t.spec["owner_crew"]] -= t.spec["cores"]

    def completed(self, t, worker):
        self.results.add(t.name)
        job, _, num = t.name.rpartition("/")
        self.done_tasks[job].add(int(num))
        self.left(t, worker, "done")

    # rules on answers
    def answered(self, job, asked, status, answer, kind):
        self.note("user", kind, job=job, status=status, answer=answer, asked=round(asked, 3))
        if status in (200, 201):
            stage = answer.get("stage")
            if answer.get("ref") != job:
                self.breaks("foreign", job=job, answer=answer)
            if job not in self.specs:
                self.breaks("invented", job=job)
                return
            final = self.told.get(job)
            if final and stage != final[0]:
                self.breaks("went_back", job=job, was=final, now=stage, asked_after_it=final[1] < asked)
            if stage == "done" and len(self.done_tasks[job]) < self.specs[job]["pieces"]:
                self.breaks("not_done", job=job, done=len(self.done_tasks[job]))
            if stage == "withdrawn" and not self.may_be_withdrawn(job):
                self.breaks("went_back", job=job, now=stage, why="nobody cancelled it")
            if stage in ("done", "withdrawn") and not final:
                self.told[job] = (stage, self.now())
                if stage == "withdrawn":
                    self.cancel_told[job] = self.now()
                    self.spawn(self.check_cancelled(job))
            self.accepted.setdefault(job, self.now())
        elif job in self.accepted and self.accepted[job] < asked:
            if status == 404 or (kind == "submit" and status in (400, 422)):
                self.breaks("forgotten", job=job, status=status, kind=kind, answer=answer)

    def may_be_withdrawn(self, job):
        spec = self.specs[job]
        return spec.get("_cancelled") or any(self.may_be_withdrawn(d) for d in spec.get("waits_on") or [])

    async def check_cancelled(self, job):
        await asyncio.sleep(self.cluster["workers"]["cancel_s"])
        for name, where in self.on.items():
            if name.rpartition("/")[0] == job and where:
                self.breaks("ran_cancelled", piece=name, on=list(where))

    # users
    async def submit(self, spec, node=None, tries=30, conn=None):
        job = spec["ref"]
        self.specs[job] = spec
        wire = {k: v for k, v in spec.items() if not k.startswith("_")}
        return await self.until_answered(job, "POST", "/v1/jobs", wire, "submit", node, tries)

    async def abort(self, job, node=None, tries=30):
        self.specs[job]["_cancelled"] = True
        return await self.until_answered(job, "POST", "/v1/jobs/%s/abort" % job, None, "abort", node, tries)

    async def until_answered(self, job, method, path, body, kind, node, tries):
        for _ in range(tries):
            at = node if node is not None else self.pick()
            asked = self.now()
            conn = Connection(self.nodes[at].listen)
            status, answer, _ = await conn.call(method, path, body, 5.0)
            conn.close()
            self.answered(job, asked, status, answer, kind)
            if status in (200, 201, 400, 422, 404):
                return status, answer
            await asyncio.sleep(1.0)
        return 0, {}

    async def poll(self, job, node=None, timeout=2.0):
        at = node if node is not None else self.pick()
        asked = self.now()
        conn = Connection(self.nodes[at].listen)
        status, answer, _ = await conn.call("GET", "/v1/jobs/" + job, None, timeout)
        conn.close()
        self.answered(job, asked, status, answer, "poll@%d" % at)
        return status, answer

    def pick(self):
        up = [i for i, n in enumerate(self.nodes) if getattr(n, "ready", False)]
        return random.choice(up or range(len(self.nodes)))

    async def probe_loop(self):
        while True:
            for n in self.nodes:
                self.spawn(self.probe(n))
            await asyncio.sleep(1.0)

    async def probe(self, n):
        conn = Connection(n.listen)
        status, _, _ = await conn.call("GET", "/ready", None, 1.0)
        conn.close()
        n.fails = 0 if status == 200 else getattr(n, "fails", 0) + 1
        n.ready = n.fails < 2 and (status == 200 or getattr(n, "ready", False))

    # controllers
    async def start(self, tmp):
        self.tmp = tmp
        await self.state.start(len(self.nodes))
        await self.cloud.start()
        for i, n in enumerate(self.nodes):
            for j, other in enumerate(self.nodes):
                if i != j:
                    n.peers[j] = Proxy(other.back)
                    await n.peers[j].start()
            settings = {
                "host_name": n.name, "area": n.zone, "listen": "%s:%d" % (HOST, n.listen),
                "back": "%s:%d" % (HOST, n.back),
                "known": [{"host_name": o.name, "area": o.zone, "endpoint": "%s:%d" % (HOST, n.peers[j].port)}
                          for j, o in enumerate(self.nodes) if j != i],
                "outside": {"cloud": "%s:%d" % (HOST, self.cloud.port),
                            "state": "%s:%d" % (HOST, self.state.ports[i])},
                "cluster": self.cluster}
            n.settings = os.path.join(tmp, n.name + ".json")
            with open(n.settings, "w") as f:
                json.dump(settings, f)
            self.launch(i)
        self.spawn(self.probe_loop())
        self.spawn(self.gang_loop())

    def launch(self, i):
        n = self.nodes[i]
        if n.process and n.process.poll() is None:
            return
        env = dict(os.environ)
        if self.log_level:
            env["LOG_LEVEL"] = self.log_level
        log = open(os.path.join(self.tmp, n.name + ".log"), "a")
        n.process = subprocess.Popen((n.program or RUN) + [n.settings], stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=env)
        log.close()
        self.note("controller", "started", node=i)

    def kill(self, i):
        p = self.nodes[i].process
        if p and p.poll() is None:
            p.send_signal(signal.SIGCONT)
            p.kill()
            p.wait()
        self.note("controller", "killed", node=i)

    def pause(self, i, stop=True):
        self.nodes[i].process.send_signal(signal.SIGSTOP if stop else signal.SIGCONT)
        self.note("controller", "stopped" if stop else "continued", node=i)

    def check_alive(self):
        for i, n in enumerate(self.nodes):
            if n.process and n.process.poll() is not None and n.process.returncode != -9:
                self.breaks("process_ended", node=i, code=n.process.returncode)

    def leader(self):
        item = self.state.kv.get("leader")
        if item is None:
            return None
        text = json.dumps(item[0])
        return next((i for i, n in enumerate(self.nodes) if '"%s"' % n.name in text), None)

    async def until(self, ready, limit):
        end = time.monotonic() + limit
        while time.monotonic() < end:
            if ready():
                return True
            await asyncio.sleep(0.02)
        return False

    def stop(self):
        for i, n in enumerate(self.nodes):
            if n.process:
                self.kill(i)
        for t in list(self.tasks):
            t.cancel()
        self.record.flush()


def deploy_command(root):
    """The `run` command of deploy/service.toml, as a list of arguments."""
    with open(os.path.join(root, "deploy", "service.toml")) as f:
        for line in f:
            if line.startswith("run"):
                args = line.split("=", 1)[1].strip().strip('"').split()
                args[0] = os.path.join(root, args[0])
                return args
    raise SystemExit(2)


ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
RUN = deploy_command(ROOT)


def job(number, **more):
    spec = {"ref": "j-%06d" % number, "job_family": "nightly-slice", "owner_crew": "care-0", "run_shape": "array",
            "urgency": "normal", "pieces": 1, "cores": 1.0, "accelerators": 0.0, "memory_gb": 1.0,
            "bundle": "img-1", "image_gb": 0.3, "rigs": None, "hall": None, "same_place": False, "apart": False,
            "lendback": False, "expected_s": 2.0, "snapshot_every_s": 0.0, "snapshot_cost_s": 0.0, "due_s": None}
    spec.update(more)
    return spec


def almaty(**more):
    """Settings like those of the small deployment in Almaty."""
    cluster = {
        "size": 3, "zones": ["almaty-east", "almaty-west", "astana-hall"],
        "teams": [{"name": "care-%d" % i, "cpus": 16.0, "cpus_max": 56.0, "gpus": 0.0, "gpus_max": 0.0} for i in range(4)],
        "objectives": [],
        "workers": {"report_s": 1.0, "lease_s": 10.0, "gang_wait_s": 45.0, "gang_peer_s": 5.0, "cancel_s": 35.0},
        "state": {"rps": 60.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12},
        "cloud": {"rps": 5.0, "list_lag_s": 3.0},
        "quota": {"cpu": 0.08, "memory_mb": 56.0, "max_sockets": 600}, "skew_ms": 100.0}
    for k, v in more.items():
        if isinstance(v, dict):
            cluster[k].update(v)
        else:
            cluster[k] = v
    return cluster


def lahore(**more):
    """Settings like those of the small deployment in Lahore."""
    cluster = {
        "size": 3, "zones": ["gulberg-hall"],
        "teams": [{"name": "production-floor-%02d" % i, "cpus": 0.0, "cpus_max": 0.0, "gpus": 8.0, "gpus_max": 16.0}
                  for i in range(10)],
        "objectives": [],
        "workers": {"report_s": 2.0, "lease_s": 10.0, "gang_wait_s": 35.0, "gang_peer_s": 8.0, "cancel_s": 40.0},
        "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 16.0, "txn_ops": 24},
        "cloud": {"rps": 8.0, "list_lag_s": 3.0},
        "quota": {"cpu": 0.16, "memory_mb": 72.0, "max_sockets": 1200}, "skew_ms": 100.0}
    for k, v in more.items():
        if isinstance(v, dict):
            cluster[k].update(v)
        else:
            cluster[k] = v
    return cluster


RAVI = [{"sku": "ravi-cpu", "cores": 64.0, "accelerators": 0.0, "memory_gb": 256.0, "local_gb": 200.0,
         "fetch_gb_per_s": 1.0, "price": 3.55, "market_price": 1.37, "startup_s": 2.0, "halls": ["gulberg-hall"]}]

STEPPE = [{"sku": "steppe-small", "cores": 8.0, "accelerators": 0.0, "memory_gb": 32.0, "local_gb": 100.0,
           "fetch_gb_per_s": 1.0, "price": 0.33, "market_price": 0.11, "startup_s": 2.0,
           "halls": ["almaty-east", "almaty-west", "astana-hall"]}]
