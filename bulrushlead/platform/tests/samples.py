"""Settings, heartbeats and configurations as the platform sends them."""

import json

SETTINGS = """
nodeName = "edge-1"
role = "gateway"
machineClass = "edge"
serves = ["edge"]
ip = "10.1.0.10"
zone = "casa-a"
region = "casa"
internalPortRange = [7720, 7735]
seeds = ["10.1.0.12:8166", "10.2.0.42:8166"]
bootstrap = true
heartbeat = "1500ms"
unheardOf = "ignored"
[zones]
casa-a = "casa"
fes-a = "fes"
[listen]
front = "10.1.0.10:8161"
readinessAddr = "10.1.0.10:8167"
[limits]
memoryMb = 300
[bounds]
grace = "6s"
retryBudgetRatio = 0.2
budgetWindow = "10s"
retryBudgetSlack = 62
warmupOvershoot = 1.5
warmupSlack = 5
ttl_max = "5s"
"""

HEARTBEAT = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "casa-a",
    "version": "v1",
    "capacity": 4,
    "state": "ready",
    "warmupLeft": "1.5s",
    "sequence": 4,
    "born": 1_780_000_000_000,
}

ROUTE = {
    "host": "Ficu95.example",
    "pathPrefix": "/lohu930/",
    "type": "safe",
    "timeout": "2s",
    "targetLatency": "300ms",
    "priority": 2,
    "backends": [
        {"service": "huvo11a", "weight": 90},
        {"service": "wuno96b", "weight": 10},
    ],
    "maxAttempts": 2,
    "sessionAffinity": True,
    "allowedRegions": ["casa"],
}

SERVICE = {
    "healthPath": "/health",
    "maxConnections": 390,
    "warmup": "3s",
    "warmupPerS": 7.4,
}

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 1048576,
    "headerTimeout": "3000ms",
    "idleTimeout": "15000ms",
}


def resource(kind, name, spec):
    metadata = {"name": name} if name else {}
    return {"resourceKind": kind, "metadata": metadata, "spec": spec}


def configuration(version=7, **route_changes):
    """Return a configuration; a route field set to ``...`` is left out."""
    route = {**ROUTE, **route_changes}
    route = {name: value for name, value in route.items() if value is not ...}
    return {
        "version": version,
        "resources": [
            resource("routes", "r1", route),
            resource("services", "huvo11a", SERVICE),
            resource("services", "wuno96b", SERVICE),
            resource("limits", "", LIMITS),
        ],
    }


def encode_json(document):
    return json.dumps(document).encode()
