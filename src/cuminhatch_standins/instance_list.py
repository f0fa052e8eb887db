"""
Stand-in for the platform's list of live and leaving instances.

``GET /instances`` returns the list as it was ``--lag_ms`` ago. ``PUT
/instances/{id}`` with ``{"address", "kind", "state"}`` and ``DELETE
/instances/{id}`` change the current list.

Faults besides the common ones: ``stale`` (flag; the returned list stops
changing).
"""

from collections import deque
from typing import NamedTuple

from absl import flags

from cuminhatch.codecs.platform import (
    PlatformMessageError,
    decode_instance,
    encode_instances,
)
from cuminhatch.decisions.platform import InstanceList, ListedInstance
from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch_standins._fault_injector import (
    IGNORED_CALLER_EVENTS,
    LISTENER,
    FaultsChanged,
)
from cuminhatch_standins._faults import COMMON_FAULTS, FaultSpec, is_flag
from cuminhatch_standins._process import run_standin
from cuminhatch_standins._responses import (
    JSON_TYPE,
    CompleteRequest,
    decode_path_suffix,
    make_json_response,
    make_response,
)

FAULTS = {
    **COMMON_FAULTS,
    "stale": FaultSpec(False, is_flag),
}

flags.DEFINE_float("lag_ms", 0.0, "Age of the list that is returned.")


class _Snapshot(NamedTuple):
    """A version of the list, and the time at which it became current."""

    since_ms: float
    instances: InstanceList


class InstanceListStandin(Service):
    """Stores a list of instances and returns an older version of it."""

    name = "instance_list"

    def __init__(self, kernel: Kernel, lag_ms: float) -> None:
        """
        Create an empty list.

        :param kernel: kernel of the process.
        :param lag_ms: age of the list that is returned.
        """
        super().__init__(kernel)
        self._lag_ms = lag_ms
        self._instances: dict[str, ListedInstance] = {}
        self._history = deque([_Snapshot(float("-inf"), InstanceList(()))])
        self._stale_list: InstanceList | None = None

    def message_handlers(self) -> MessageTable:
        """Return the handlers for requests and fault changes."""
        return {
            CompleteRequest: self._on_complete_request,
            FaultsChanged: self._on_faults_changed,
            **IGNORED_CALLER_EVENTS,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        if "stale" in message.names:
            self._stale_list = (
                self._get_lagging_list() if message.faults["stale"] else None
            )

    def _on_complete_request(self, request: CompleteRequest) -> None:
        instance_id = decode_path_suffix(request, "/instances/")
        if (request.method, request.path) == ("GET", "/instances"):
            instances = (
                self._get_lagging_list()
                if self._stale_list is None
                else self._stale_list
            )
            body = encode_instances(instances)
            self.send(LISTENER, make_response(request, 200, body, (JSON_TYPE,)))
        elif request.method == "PUT" and instance_id is not None:
            self._put(request, instance_id)
        elif request.method == "DELETE" and instance_id is not None:
            self._instances.pop(instance_id, None)
            self._record_change()
            self.send(LISTENER, make_json_response(request, 200, {}))
        else:
            self.send(LISTENER, make_json_response(request, 404, {}))

    def _put(self, request: CompleteRequest, instance_id: str) -> None:
        try:
            instance = decode_instance(instance_id, request.body)
        except PlatformMessageError as error:
            self.send(LISTENER, make_json_response(request, 400, {"error": str(error)}))
            return
        self._instances[instance_id] = instance
        self._record_change()
        self.send(LISTENER, make_json_response(request, 200, {}))

    def _record_change(self) -> None:
        instances = InstanceList(tuple(self._instances.values()))
        self._history.append(_Snapshot(self.kernel.clock.now_ms, instances))

    def _get_lagging_list(self) -> InstanceList:
        cutoff_ms = self.kernel.clock.now_ms - self._lag_ms
        while len(self._history) > 1 and self._history[1].since_ms <= cutoff_ms:
            self._history.popleft()
        return self._history[0].instances


def main() -> None:
    """Run the stand-in for the instance list."""
    run_standin(lambda kernel: InstanceListStandin(kernel, flags.FLAGS.lag_ms), FAULTS)


if __name__ == "__main__":
    main()
