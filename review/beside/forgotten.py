"""Not one of the cases: the first entry of issue 42. A user is told at one controller that a job is cancelled;
then the state service is out for 97 s, and another controller answers no question about the job, while it
answers those about jobs whose end it knows."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib"))
from standins import Service, array, cancel, main, now, submit  # noqa: E402
import wire  # noqa: E402

OUTAGE_S, FORGOTTEN_S = 97.0, 90.0


async def case(record, trouble):
    service = Service(record, dict(rps=200.0, write_rps=80.0, value_kb=32.0, txn_ops=48))
    try:
        await service.start()
        leader = await service.ready()
        one, other = [n for n in range(3) if n != leader]
        clients = [wire.Client(p) for p in service.ports]
        ended = [f"wk-{n:06d}" for n in range(100, 109)]
        job = "wk-000200"
        for name_id in ended + [job]:
            service.cloud.jobs[name_id] = {"run_s": 600.0, "cpus": 2.0}
            await submit(clients[one], array(name_id, guess_s=600.0), record)
        for name_id in ended:
            await cancel(clients[other], name_id, record)
        gait = await cancel(clients[one], job, record)
        told = now()
        record.say(job, "was called", gait, "at", service.labels[one])
        counts = {"job": [0, 0], "others": [0, 0]}  # answered, failed
        first_failed = last_failed = None

        async def user(name_id, kind):
            nonlocal first_failed, last_failed
            while now() < told + 1.0 + OUTAGE_S:
                sent = now()
                # An open connection stays where it is.
                status, answer = await clients[other].send("GET", f"/submissions/{name_id}", None, 2.0)
                record("user asks for", name_id, "->", status, answer)
                answered = status in (200, 404)
                counts[kind][0 if answered else 1] += 1
                if kind == "job":
                    first_failed = None if answered else (first_failed or sent)
                    last_failed = None if answered else now()
                await asyncio.sleep(max(0.0, 5.0 - (now() - sent)))

        if trouble:
            service.state.begin_outage()
            record.say("the state service is out")
        await asyncio.gather(user(job, "job"), *(user(i, "others") for i in ended))
        service.state.end_outage()
        record.say("questions (answered, not answered):", counts)
        failing_s = (last_failed or 0.0) - (first_failed or last_failed or 0.0)
        if failing_s >= FORGOTTEN_S and counts["others"][0] > counts["others"][1]:
            record.say(f"BROKEN forgotten: every question about {job} failed for {failing_s:.1f} s while most others were answered")
            return 1
        return 0
    finally:
        service.stop()


main(case, FOLDER)
