"""A planned stop cuts off requests that the gateway took after its third second."""

# ruff: noqa: D102, D103
import asyncio
import json
import random
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins as s  # noqa: E402

WORK_S = 3.0  # the site's certificates take 3.8 s on average
DEADLINE_S = 20.0
TIMEOUT_MS = 4000
REQUESTS_PER_S = 80.0
N_CLIENTS = 80
N_STOPS = 4
STOP_GAP_S = 14.0
LATE_STOP_S = 3.0  # requests sent until then may be cut off in the last sixth of grace
RESTART_S = 0.3
EDGE_ZONE = "casa-a"
# A client keeps the answer of a look-up for its time to live, some three times as long.
KEEP_FACTORS = (1, 1, 3)


class Client:
    """Looks up gateways and sends each request on a new connection."""

    def __init__(self, deployment, number, sent):
        self.deployment = deployment
        self.record = deployment.record
        self.number = number
        self.sent = sent
        self.keep_factor = KEEP_FACTORS[number % len(KEEP_FACTORS)]
        self.rng = random.Random(number)
        self.addresses = []
        self.valid_until_s = 0.0
        self.tasks = set()

    async def run(self):
        number = 0
        await asyncio.sleep(self.number / REQUESTS_PER_S)
        while True:
            await self.look_up()
            if self.addresses:
                number += 1
                task = asyncio.create_task(self.send(f"c{self.number}-{number}"))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(N_CLIENTS / REQUESTS_PER_S * self.rng.uniform(0.8, 1.2))

    async def look_up(self):
        if self.record.now() < self.valid_until_s:
            return
        region = s.ZONES[EDGE_ZONE]
        target = f"/v1/resolve?name={s.NAME}&region={region}&zone={EDGE_ZONE}"
        for core in self.rng.sample(self.deployment.cores, 3):
            try:
                status, _, body = await s.exchange(
                    core.ip, self.deployment.directory_port, "GET", target, {}, b"", 1.0
                )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
            if status == 200:
                answer = json.loads(body)
                self.addresses = answer["addresses"]
                ttl_s = float(answer["ttl"].removesuffix("ms")) / 1000
                self.valid_until_s = self.record.now() + ttl_s * self.keep_factor
                return

    async def send(self, request_id):
        address = self.rng.choice(self.addresses)
        ip, _, port = address.rpartition(":")
        entry = {"id": request_id, "ip": ip, "sent": None, "end": None, "status": None}
        headers = {
            "Host": s.NAME,
            "Request-Id": request_id,
            "Deadline-Ms": f"{DEADLINE_S * 1000:.0f}",
        }
        writer = None
        try:
            async with asyncio.timeout(1.0):  # for a new connection
                reader, writer = await asyncio.open_connection(ip, int(port))
            async with asyncio.timeout(DEADLINE_S):
                writer.write(s.render_request("GET", "/cert/x", headers, b""))
                entry["sent"] = self.record.now()
                self.sent.append(entry)
                answer = await s.read_message(reader)
                entry["status"] = int(answer[0].split(" ")[1]) if answer else "closed"
        except (OSError, asyncio.IncompleteReadError) as error:
            entry["status"] = type(error).__name__
            if address in self.addresses and len(self.addresses) > 1:
                self.addresses.remove(address)  # left out for new connections
        except TimeoutError:
            entry["status"] = "deadline"
        finally:
            if writer is not None:
                writer.close()
        entry["end"] = self.record.now()
        if entry["sent"] is not None:
            self.record.write(
                f"client: {request_id} to {ip} sent at {entry['sent']:.3f}: "
                f"{entry['status']}"
            )


async def play(deployment, trouble):
    deployment.instances = [
        s.Instance(deployment, "certs", zone, n, slots=9)
        for n, zone in enumerate(["casa-a", "casa-b"] * 16)
    ]
    for instance in deployment.instances:
        instance.work_s = lambda request: WORK_S
    document = {
        "version": 1,
        "resources": [
            s.route("cert", "/cert/", "safe", "certs", TIMEOUT_MS, 2500),
            s.service("certs"),
            s.limits(),
        ],
    }
    await deployment.start(document)
    sent, stops = [], []
    clients = [Client(deployment, n, sent) for n in range(N_CLIENTS)]
    tasks = [asyncio.create_task(client.run()) for client in clients]
    await asyncio.sleep(6.0)
    for number in range(N_STOPS):
        edge = deployment.edges[number % len(deployment.edges)]
        if trouble:
            stops.append((edge.ip, await stop(deployment, edge)))
        await asyncio.sleep(STOP_GAP_S - s.GRACE_S)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
    await asyncio.gather(*(task for client in clients for task in client.tasks))
    return check(deployment, sent, stops)


async def stop(deployment, edge):
    """Stop a gateway as planned and start it again; return when SIGTERM was sent."""
    record = deployment.record
    record.say(f"{edge.name} gets SIGTERM")
    stopped_s = record.now()
    edge.signal(signal.SIGTERM)
    try:
        async with asyncio.timeout(s.GRACE_S):
            await edge.process.wait()
    except TimeoutError:
        record.say(f"{edge.name} is killed after its grace")
        await edge.kill()
    record.say(f"{edge.name} has ended")
    await asyncio.sleep(max(0.0, stopped_s + s.GRACE_S - record.now()) + RESTART_S)
    await edge.start()
    return stopped_s


def check(deployment, sent, stops):
    """Return the requests that a planned stop has cut off against the rule."""
    passed_on = {
        request_id
        for instance in deployment.instances
        for _, request_id in instance.arrivals
    }
    breaks = []
    excused = 0
    for entry in sent:
        if isinstance(entry["status"], int) or entry["id"] not in passed_on:
            continue
        if entry["status"] == "deadline":
            continue
        for ip, stopped_s in stops:
            after_s = entry["sent"] - stopped_s
            if entry["ip"] != ip or not 0 <= after_s <= s.GRACE_S:
                continue
            ended_s = entry["end"] - stopped_s
            if after_s <= LATE_STOP_S and ended_s >= s.GRACE_S * 5 / 6:
                excused += 1
                continue
            breaks.append(
                f"LOST: {entry['id']}, sent {after_s:.3f} s after the SIGTERM of {ip} "
                f"and passed on to an instance, ended without an answer "
                f"{ended_s:.3f} s after it ({entry['status']})"
            )
    answered = sum(entry["status"] == 200 for entry in sent)
    deployment.record.say(
        f"{len(sent)} requests, {answered} answered with 200, {excused} cut off but "
        "excused by the rule"
    )
    return breaks


play.layout = {"edge_zones": (EDGE_ZONE, EDGE_ZONE)}
s.run_case(FOLDER, play)
