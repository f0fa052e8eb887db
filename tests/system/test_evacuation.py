"""Test of an evacuation with gateways as processes."""

from tests.support import http_request, wait_until
from tests.system.gateways import running_gateways

SETTINGS = """
[evacuation]
within_ms = 5000
[warmup]
overshoot = 1.5
slack = 8
"""
REQUESTS = 20


def count_runs(cluster, server_id):
    return len(cluster.servers[server_id].request("GET", "/runs").value)


def has_event(gateway, name):
    return any(line["event"] == name for line in gateway.lines)


def test_evacuated_domain_gets_no_requests_until_the_row_is_removed():
    """Guards against parts that each work and are not connected."""
    with running_gateways(SETTINGS) as cluster:
        cluster.register("b2", zone="there", sequence=2)
        cluster.write("op", "evacuate/there", "x")
        for gateway in cluster.gateways:
            wait_until(lambda g=gateway: has_event(g, "evacuation_started"), "start")
        late = cluster.start_gateway(3)
        wait_until(lambda: late.is_ready, "readiness")
        before = count_runs(cluster, "b2")
        for number in range(REQUESTS):
            for gateway in cluster.gateways:
                response = gateway.send_request("status", f"e{number}")
                assert response.status == 200
        assert count_runs(cluster, "b2") == before
        metrics = http_request(late.metrics, "GET", "/metrics").body
        assert b'cuminhatch_evacuated_since_s{domain="there"}' in metrics
        cluster.write("op", "evacuate/there", None)
        for gateway in cluster.gateways:
            wait_until(lambda g=gateway: has_event(g, "evacuation_ended"), "end")
