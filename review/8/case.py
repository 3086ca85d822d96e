"""A configuration gives routes of two hosts the same name."""

import asyncio
import os
import signal
import sys
import traceback
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as stand_ins  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
FIRST, SECOND = "huvo11a", "wuno96b"  # services
HOSTS = {"ficu95.example": FIRST, "lohu930.example": SECOND}
PATH = "/lohu930/2f"
REQUESTS = 20  # to each host name
APPLY_S = 2.5  # configApply of the settings
DEADLINE_MS = 2_500


def document(version):
    """Return a configuration with one route for each host name."""
    text = stand_ins.configuration(
        version, {"/lohu930/": "safe"}, services=(FIRST, SECOND)
    )
    route, *others = text["resources"]
    routes = []
    for number, (host, service) in enumerate(HOSTS.items()):
        name = "r-6x73d3z" if HAS_TROUBLE else f"r-6x73d3z-{number}"
        spec = {**route["spec"], "host": host, "service": service}
        routes.append({**route, "metadata": {"name": name}, "spec": spec})
    return {"version": version, "resources": routes + others}


async def run(record):
    """Run the case; return the exit code."""
    platform = stand_ins.Platform(record, cores=5, edges=2)
    operator = stand_ins.Operator(platform, record)
    servers = [
        stand_ins.Server(platform, record, number, service)
        for number, service in enumerate([FIRST, SECOND] * 3)
    ]
    try:
        for host in (*platform.cores, *platform.edges):
            await host.start(bootstrap=True)
        first = document(1)
        if not await operator.order("config.put", document=first, for_s=30.0):
            # To refuse it would hold the rule, too.
            return 0 if HAS_TROUBLE else 2
        for server in servers:
            await server.start()
        await asyncio.sleep(APPLY_S + 2.0)
        sent = await send_requests(platform, record)
        return judge(record, sent, servers)
    finally:
        for server in servers:
            await server.close()
        await platform.close()


async def send_requests(platform, record):
    """Send requests to each host name; return their identifiers and host names."""
    sent = {}
    for number in range(REQUESTS):
        for host in HOSTS:
            request_id = os.urandom(8).hex()
            edge = platform.edges[number % len(platform.edges)]
            sent[request_id] = host
            status, _, body = await stand_ins.http_call(
                edge.front,
                "GET",
                PATH,
                [("Request-Id", request_id), ("Deadline-Ms", str(DEADLINE_MS))],
                timeout_s=DEADLINE_MS / 1_000,
                host=host,
            )
            record.write(f"client: {host}{PATH} {request_id}: {status} {body[:40]!r}")
    return sent


def judge(record, sent, servers):
    """Return 1 if a service ran what no configuration sends to it."""
    wrong, right = 0, 0
    for server in servers:
        for request_id, _ in server.runs:
            if HOSTS[sent[request_id]] == server.service:
                right += 1
            else:
                wrong += 1
    record.write(f"{right} requests ran at their service, {wrong} at another one")
    if wrong:
        return 1
    return 0 if right else 2


def main():
    """Run the case and exit with its code."""
    record = stand_ins.Record(FOLDER)
    try:
        code = asyncio.run(run(record))
    except Exception:
        record.write(traceback.format_exc())
        code = 2
    record.write(f"exit code {code}")
    sys.exit(code)


if __name__ == "__main__":
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    main()
