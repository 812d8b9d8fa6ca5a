"""Not one of the cases. A service whose replicas are bound by memory loses half of them with a machine and
never gets them back. With TROUBLE=0 the machine goes on; with BARE=1 no other job has brought up a second
machine, and half of the replicas never start at all."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "../lib"))
from standins import Service, array, main, now, submit  # noqa: E402
import wire  # noqa: E402


async def case(record, trouble):
    service = Service(record, dict(rps=200.0, write_rps=80.0, value_kb=32.0, txn_ops=48))
    cloud = service.cloud
    try:
        await service.start()
        await service.ready()
        client = wire.Client(service.ports[0])
        work, shop = "wk-000778", "wk-000777"
        cloud.jobs[work] = {"run_s": 12.0, "cpus": 2.0}
        cloud.jobs[shop] = {"run_s": 1e6, "cpus": 2.0}
        if os.environ.get("BARE") != "1":
            await submit(client, array(work, chores=40, ram_gb=0.5, guess_s=40.0, strays=False), record)
        await submit(client, array(shop, breed="standing", chores=4, ram_gb=60.0, guess_s=0.0, strays=False), record)

        def replicas():
            on = {}
            for name, machine in cloud.machines.items():
                tasks = machine["worker"].tasks if machine["worker"] else {}
                on[name] = sum(chore.startswith(shop) and t.state == "running" for (chore, _), t in tasks.items())
            return on

        while now() < 30.0:
            await asyncio.sleep(1.0)
        record.say("replicas on machines:", replicas())
        if trouble and sum(replicas().values()) == 4:
            cloud.die(max(n for n, count in replicas().items() if count))
            record.say("one machine stopped")
        while now() < 114.0:
            await asyncio.sleep(5.0)
            status, answer = await client.send("GET", f"/submissions/{shop}")
            record.say(status, answer, "replicas on machines:", replicas(), "of at most", cloud.capacity, "machines")
        return 0 if sum(replicas().values()) == 4 else 1
    finally:
        service.stop()


main(case, FOLDER)
