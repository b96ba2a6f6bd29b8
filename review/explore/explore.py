"""Random disruptions against three real controllers, with stand-ins on loopback and the
real clock. Not a case: it searched for faults, see ../REPORT.md.

    python3 review/explore/explore.py --seed 1 --kind mixed --folder /tmp/explore-1

Disruptions come for the first part of the run; then it is quiet, so that a job that is
lost or stuck shows. Prints one line; the folder gets record.txt and the controllers' logs.
"""
import argparse, os, sys
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "common"))
import standins
from standins import *

BASIC = ["crash", "crash", "crash", "crash_all", "pause", "refuse", "outage", "late_writes", "lost_answers",
         "slow_state", "cut_state_and_peers", "peers_refuse", "cut_workers", "roll", "late_reports", "machine_dies",
         "refuse_then_outage", "cancel_many", "ten_leaders", "zone_cut", "hang", "deaf", "mute", "slow_commands"]
KINDS = {
    "mixed": BASIC,
    "pauses": BASIC + ["duty"] * 8 + ["pause_all", "pause_and_crash", "pause_refused", "pause_in_outage"] * 4,
    "looks": BASIC + ["short_pauses", "few_hundred_ms", "peer_delays"] * 6,
    "limits": BASIC,
}


class Exploration:
    def __init__(self, args):
        self.kind, self.seconds, self.quiet = args.kind, args.seconds, args.quiet
        state = {"rps": 60.0, "write_rps": 15.0, "value_kb": 8.0, "txn_ops": 12}
        if args.kind == "limits":
            state["next"] = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 15.0, "rps": 60.0}
        if args.kind == "looks":
            state.update(rps=700.0, write_rps=250.0, value_kb=16.0, txn_ops=24)
        self.w = World(almaty(state=state), STEPPE, args.folder, log_level="info", capacity=20, boot=(0.5, 2.5), lag=2.0)
        self.stopped = False

    # load
    def spec(self, number):
        w, r = self.w, random.random()
        spec = job(number, owner_crew="care-%d" % random.randrange(3), pieces=random.choice([1, 1, 2, 5, 12]),
                   cores=random.choice([1.0, 4.0, 4.0]), expected_s=random.choice([1.0, 3.0, 8.0, 25.0]), memory_gb=2.0)
        if r < .15:
            spec.update(run_shape="standing", urgency="prod", expected_s=0.0, pieces=2)
        elif r < .3:
            spec.update(run_shape="gang", urgency="urgent", pieces=random.choice([1, 2, 4]), cores=4.0,
                        expected_s=random.choice([4.0, 12.0]), snapshot_every_s=3.0, snapshot_cost_s=1.0,
                        same_place=random.random() < .7)
        elif r < .5:
            spec.update(random.choice([{"same_place": True}, {"apart": True}, {"hall": "almaty-west"}]))
        if random.random() < .3:
            spec["lendback"] = True
        if self.kind == "limits" and random.random() < .3:
            spec["rigs"] = ["steppe-small"] + ["r" * random.randrange(20, 200) + str(i)
                                               for i in range(random.choice([5, 20, 60]))]
        if self.w.nodes[0].program:
            return spec  # nobody names other jobs while versions are mixed
        before = [j for j in w.accepted if w.specs[j]["run_shape"] != "standing"]
        if before and random.random() < .3:
            most = random.choice([1, 2, 10, 40] if self.kind == "limits" else [1, 2])
            spec["waits_on"] = random.sample(before, min(len(before), most))
        return spec

    async def look(self, spec, for_s):
        """Asks at all nodes within milliseconds."""
        if self.kind != "looks":
            return
        end = self.w.now() + for_s
        while self.w.now() < end:
            for node in range(3):
                self.w.spawn(self.w.poll(spec["ref"], node))
                if random.random() < .1:
                    self.w.spawn(self.w.submit(spec, node, tries=1))
            await asyncio.sleep(random.uniform(.01, .09))

    async def user(self, number):
        w = self.w
        spec = self.spec(number)
        if (await w.submit(spec))[0] not in (200, 201):
            return
        job_id = spec["ref"]
        w.spawn(self.look(spec, .4))
        cancel = random.random() < .35 or spec["run_shape"] == "standing"
        cancel_at = w.now() + random.choice([0, .02, random.uniform(0, 25)])
        while not self.stopped:
            if cancel and w.now() > cancel_at:
                cancel = False
                w.spawn(w.abort(job_id))
                w.spawn(self.look(spec, 2.5))
            nodes = [None] if random.random() < .8 else [0, 1, 2]
            answers = await asyncio.gather(*[w.poll(job_id, n) for n in nodes])
            if any(s == 200 and a.get("stage") in ("done", "withdrawn") for s, a in answers):
                await self.look(spec, 1.5)
                await asyncio.sleep(random.uniform(0, 20))
                await w.submit(spec, tries=1)
                return
            await asyncio.sleep(random.uniform(.05, .5) if self.kind == "looks" else random.uniform(1, 5))

    async def load(self):
        number = 1
        while self.w.now() < self.seconds - self.quiet:
            self.w.spawn(self.user(number))
            number += 1
            await asyncio.sleep(random.expovariate(1.5))

    # disruptions
    async def troubles(self):
        await asyncio.sleep(12)
        while self.w.now() < self.seconds - self.quiet:
            leader = self.w.leader()
            node = leader if leader is not None and random.random() < .75 else random.randrange(3)
            name, for_s = random.choice(KINDS[self.kind]), random.uniform(1, 15)
            self.w.note("TROUBLE", name, node=node, for_s=for_s)
            self.w.spawn(getattr(self, name)(node, for_s))
            await asyncio.sleep(random.uniform(1, 9))

    def live(self):
        return [m for m in self.w.workers.values() if m.up and not m.gone]

    def signal(self, node, what):
        try:
            self.w.nodes[node].process.send_signal(what)
        except ProcessLookupError:
            pass

    async def crash(self, node, for_s):
        self.w.kill(node)
        await asyncio.sleep(random.choice([.3, 6]))
        self.w.launch(node)

    async def crash_all(self, node, for_s):
        for i in range(3):
            self.w.kill(i)
        await asyncio.sleep(random.choice([.5, 6, 9.9, 12]))
        for i in range(3):
            self.w.launch(i)
            await asyncio.sleep(random.choice([0, 1]))

    async def roll(self, node, for_s):
        for i in range(3):
            self.w.kill(i)
            await asyncio.sleep(.5)
            self.w.launch(i)
            await asyncio.sleep(4)

    async def ten_leaders(self, node, for_s):
        for _ in range(6):
            if self.w.leader() is not None:
                await self.crash(self.w.leader(), 0)
            await asyncio.sleep(random.choice([2, 5]))

    async def pause(self, node, for_s):
        self.signal(node, signal.SIGSTOP)
        await asyncio.sleep(for_s)
        self.signal(node, signal.SIGCONT)

    async def short_pauses(self, node, for_s):
        for _ in range(8):
            await self.pause(random.randrange(3), random.choice([.2, .6, .9, 1.5, 2.5]))
            await asyncio.sleep(random.uniform(.1, 1))

    async def duty(self, node, for_s):
        on, off = random.choice([(.05, .3), (.02, .7), (.3, 1.2), (.5, 4.2), (1.0, 5.5), (.2, 3.0)])
        end = self.w.now() + for_s + 8
        while self.w.now() < end:
            await self.pause(node, off * random.uniform(.7, 1.3))
            await asyncio.sleep(on * random.uniform(.5, 1.5))

    async def pause_all(self, node, for_s):
        for i in range(3):
            self.signal(i, signal.SIGSTOP)
        await asyncio.sleep(random.choice([2, 3.9, 5, 9.8, 11, 13]))
        for i in random.sample(range(3), 3):
            self.signal(i, signal.SIGCONT)
            await asyncio.sleep(random.choice([0, .5, 3]))

    async def pause_and_crash(self, node, for_s):
        self.signal(node, signal.SIGSTOP)
        others = [i for i in range(3) if i != node]
        for i in others:
            self.w.kill(i)
        await asyncio.sleep(random.choice([.3, 6]))
        for i in others:
            self.w.launch(i)
        await asyncio.sleep(random.choice([0, 3, 6, 9]))
        self.signal(node, signal.SIGCONT)

    async def pause_refused(self, node, for_s):
        self.w.state.refused.add(node)
        await asyncio.sleep(random.uniform(0, 2))
        await self.pause(node, for_s)
        self.w.state.refused.discard(node)

    async def pause_in_outage(self, node, for_s):
        self.w.state.set_outage(True)
        await asyncio.sleep(random.uniform(0, 3))
        await self.pause(node, random.choice([.5, 1.2, 5, 9]))
        await asyncio.sleep(random.choice([0, 2, 12, 20]))
        self.w.state.set_outage(False)

    async def refuse(self, node, for_s):
        self.w.state.refused.add(node)
        await asyncio.sleep(for_s)
        self.w.state.refused.discard(node)

    async def outage(self, node, for_s):
        self.w.state.set_outage(True)
        await asyncio.sleep(for_s)
        self.w.state.set_outage(False)

    async def refuse_then_outage(self, node, for_s):
        self.w.state.refused.add(node)
        self.w.spawn(self.cancel_some())
        await asyncio.sleep(random.uniform(.5, 3))
        await self.outage(node, for_s)
        self.w.state.refused.discard(node)

    async def cancel_some(self):
        await asyncio.gather(*[self.w.abort(j) for j in [j for j in self.w.accepted if j not in self.w.told][:8]])

    async def cancel_many(self, node, for_s):
        self.w.spawn(self.cancel_some())
        if random.random() < .5:
            await self.crash(node, for_s)

    async def late_writes(self, node, for_s):
        self.w.state.late = (random.choice([.3, .7]), 2, 12)
        await asyncio.sleep(for_s)
        self.w.state.late = None

    async def lost_answers(self, node, for_s):
        self.w.state.lost = random.choice([.3, .7])
        await asyncio.sleep(for_s)
        self.w.state.lost = None

    async def slow_state(self, node, for_s):
        for i in range(3):
            self.w.state.delay[i] = random.choice([.3, .8, 1.2])
        await asyncio.sleep(for_s)
        self.w.state.delay.clear()

    async def few_hundred_ms(self, node, for_s):
        end = self.w.now() + for_s
        while self.w.now() < end:
            self.w.state.delay[random.randrange(3)] = random.choice([0, .1, .25, .45, .6])
            await asyncio.sleep(.3)
        self.w.state.delay.clear()

    def peers_of(self, node, mode):
        for other, proxy in self.w.nodes[node].peers.items():
            proxy.mode = self.w.nodes[other].peers[node].mode = mode

    async def cut_state_and_peers(self, node, for_s):
        self.w.state.delay[node] = 1000
        self.peers_of(node, "hold")
        await asyncio.sleep(for_s)
        self.w.state.delay.clear()
        self.peers_of(node, "pass")

    async def zone_cut(self, node, for_s):
        zone = self.w.nodes[node].zone
        cuts = {(i, m.name) for m in self.w.workers.values() for i in range(3)
                if (m.hall == zone) != (self.w.nodes[i].zone == zone)}
        self.w.cuts |= cuts
        await self.cut_state_and_peers(node, for_s + 6)
        self.w.cuts -= cuts

    async def peers_refuse(self, node, for_s):
        for n in self.w.nodes:
            for proxy in n.peers.values():
                proxy.mode = "refuse"
                proxy.reset_all()
        await asyncio.sleep(for_s)
        for n in self.w.nodes:
            for proxy in n.peers.values():
                proxy.mode = "pass"

    async def peer_delays(self, node, for_s):
        end = self.w.now() + for_s
        while self.w.now() < end:
            self.peers_of(node, "hold")
            await asyncio.sleep(random.choice([.05, .2, .4, .7]))
            self.peers_of(node, "pass")
            await asyncio.sleep(random.choice([.02, .2]))

    async def cut_workers(self, node, for_s):
        self.w.cuts.add((node, None))
        await asyncio.sleep(for_s)
        self.w.cuts.discard((node, None))

    async def late_reports(self, node, for_s):
        for m in self.live():
            m.copies = (.4, 2, 20)
        await asyncio.sleep(for_s)
        for m in self.w.workers.values():
            m.copies = None

    async def machine_dies(self, node, for_s):
        live = self.live()
        for m in random.sample(live, max(1, len(live) // 4)) if live else []:
            m.remove()

    async def of_half(self, field, value):
        live = self.live()
        for m in random.sample(live, len(live) // 2):
            setattr(m, field, value)

    async def hang(self, node, for_s):
        await self.of_half("hung_until", time.monotonic() + for_s)

    async def deaf(self, node, for_s):
        await self.of_half("deaf_until", time.monotonic() + for_s)

    async def mute(self, node, for_s):
        await self.of_half("mute_until", time.monotonic() + for_s)

    async def slow_commands(self, node, for_s):
        await self.of_half("slow_do", random.uniform(2, 12))
        await asyncio.sleep(for_s)
        for m in self.w.workers.values():
            m.slow_do = 0

    async def limits_fall(self):
        await asyncio.sleep(30)
        self.w.note("state", "limits fall")
        self.w.state.limits = dict(self.w.state.limits, **self.w.state.limits["next"])

    async def run(self, seed, tmp):
        w = self.w
        await w.start(tmp)
        w.spawn(self.load())
        w.spawn(self.troubles())
        if self.kind == "limits":
            w.spawn(self.limits_fall())
        while w.now() < self.seconds:
            await asyncio.sleep(1)
            w.check_alive()
        self.stopped = True
        for job_id in w.accepted:
            if job_id not in w.told and (w.specs[job_id]["run_shape"] != "standing" or w.specs[job_id].get("_cancelled")):
                w.note("NOTE", "not over at the end", job=job_id)
        for job_id in list(w.accepted):
            await w.poll(job_id, random.randrange(3))
        states = collections.Counter((w.told.get(j) or ("open",))[0] for j in w.accepted)
        print("seed", seed, self.kind, "starts", w.starts, "accepted", len(w.accepted), dict(states),
              "broken", dict(collections.Counter(b[0] for b in w.broken)), flush=True)
        w.stop()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--kind", choices=sorted(KINDS), default="mixed")
    parser.add_argument("--seconds", type=float, default=170)
    parser.add_argument("--quiet", type=float, default=100)
    parser.add_argument("--program", help="another controller program than that of the deploy file")
    parser.add_argument("--old", help="controllers 0 and 1 run this program throughout")
    parser.add_argument("--folder", required=True)
    options = parser.parse_args()
    if options.program:
        standins.RUN[0] = options.program
    os.makedirs(os.path.join(options.folder, "logs"), exist_ok=True)
    random.seed(options.seed)
    exploration = Exploration(options)
    if options.old:
        for old in exploration.w.nodes[:2]:
            old.program = [options.old] + RUN[1:]
    asyncio.run(exploration.run(options.seed, os.path.join(options.folder, "logs")))
