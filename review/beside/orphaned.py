"""A job is cancelled, and the state service is out for longer than cancel_s before all jobs that need
it are cancelled with it. Then their users ask, as they did all along, every 5 s."""

import asyncio
import os
import random
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib"))
from standins import Service, array, cancel, main, now, submit  # noqa: E402
import wire  # noqa: E402

CANCEL_S = 40.0
DEPENDENTS = 120
OUT_AFTER_S = 1.0  # the outage begins so long after the user was told
OUTAGE_S = 45.0  # longer than cancel_s
ASK_AFTER_S = 15.0  # users go on asking so long after the outage


async def case(record, trouble):
    service = Service(record, dict(rps=200.0, write_rps=80.0, value_kb=32.0, txn_ops=48))
    try:
        await service.start()
        leader = await service.ready()
        record.say("leader", service.labels[leader])
        clients = [wire.Client(p) for p in service.ports]
        first = "wk-000001"
        service.cloud.jobs[first] = {"run_s": 600.0, "cpus": 2.0}
        if await submit(clients[0], array(first, herd="survey-ingest", guess_s=600.0), record) not in (200, 201):
            return 2
        ids = [f"wk-{n:06d}" for n in range(100, 100 + DEPENDENTS)]
        for name_id in ids:
            service.cloud.jobs[name_id] = {"run_s": 5.0, "cpus": 2.0}
        gate = asyncio.Semaphore(9)

        async def send(n, name_id):
            async with gate:
                job = array(name_id, herd="boundary-clean", guess_s=5.0, waits_on=[first])
                return await submit(clients[n % 3], job, record)

        accepted = await asyncio.gather(*(send(n, i) for n, i in enumerate(ids)))
        if any(status not in (200, 201) for status in accepted):
            record.say("not all jobs were accepted")
            return 2
        await asyncio.sleep(3.0)
        gait = await cancel(clients[(leader + 1) % 3], first, record)
        if gait != "cancelled":
            return 2
        told = now()
        record.say("the user of", first, "was told: cancelled")
        broken, final, answers = [], {}, {}
        stop_at = told + OUT_AFTER_S + OUTAGE_S + ASK_AFTER_S

        async def user(name_id):
            """Asks every 5 s until the job is done or cancelled, each time at any controller."""
            await asyncio.sleep(random.uniform(0.0, 5.0))
            while now() < stop_at:
                sent, client = now(), random.choice(clients)
                status, answer = await client.send("GET", f"/submissions/{name_id}", None, 2.0)
                gait = answer.get("gait") if status == 200 else None
                answers[(status, gait)] = answers.get((status, gait), 0) + 1
                record("user asks for", name_id, "at", client.port, f"sent {sent - told:.3f} s after ->", status, gait)
                if gait in ("done", "cancelled"):
                    final[name_id] = gait
                    return
                if gait in ("queued", "running") and sent - told > CANCEL_S:
                    broken.append((name_id, client.port, gait, round(sent - told, 3)))
                await asyncio.sleep(max(0.0, 5.0 - (now() - sent)))

        async def outage():
            if not trouble:
                return
            await asyncio.sleep(max(0.0, told + OUT_AFTER_S - now()))
            service.state.begin_outage()
            record.say("the state service is out")
            await asyncio.sleep(OUTAGE_S)
            service.state.end_outage()
            record.say("the state service is back,", f"{now() - told:.3f} s after the user was told")

        await asyncio.gather(outage(), *(user(i) for i in ids))
        record.say("answers:", answers)
        record.say("told cancelled:", sum(g == "cancelled" for g in final.values()), "of", DEPENDENTS)
        for name_id, port, gait, after in broken:
            record.say(f"BROKEN orphaned: {name_id} is called {gait} at {port} in an answer to a question"
                       f" sent {after} s after the user of {first} was told cancelled (limit {CANCEL_S:.0f} s)")
        return 1 if broken else 0
    finally:
        service.stop()


main(case, FOLDER)
