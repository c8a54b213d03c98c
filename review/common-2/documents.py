"""Configurations in the platform's format."""

import json

PORT = 8443
WARMUP_S = 2.0
WARMUP_PER_S = 0.0
WARMUP_BURST_FACTOR = 1.5
WARMUP_SLACK = 5
# The most requests that a cold server may get in one second.
MOST_AT_COLD_SERVER = WARMUP_PER_S * WARMUP_BURST_FACTOR + WARMUP_SLACK


def configuration(version, services_by_host):
    """A configuration with one route for each host."""
    routes = [{"name": f"r-{host}", "host": host, "path_prefix": f"/{PORT}/", "type": "safe", "timeout_ms": 1000 + version,
               "target_latency_ms": 100, "priority": 2, "service": service, "max_attempts": 2}
              for host, service in services_by_host.items()]
    services = [{"name": service, "health_path": "/health", "max_conns": 2000, "protocol": "h1", "tls": False,
                 "warmup_s": WARMUP_S, "warmup_per_s": WARMUP_PER_S} for service in sorted(set(services_by_host.values()))]
    return json.dumps({"version": version, "routes": routes, "services": services,
                       "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000,
                                  "idle_timeout_ms": 15000}})
