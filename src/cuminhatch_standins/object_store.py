"""
Stand-in for the platform's object store.

``PUT``, ``GET`` and ``DELETE /objects/{name}`` belong to the platform's
protocol. ``GET /stats`` returns the numbers of reads and writes.

Faults besides the common ones: ``slow`` (delay in ms), ``torn`` (the next N
reads return the first half of the object), ``missing`` (flag; all reads
return 404).
"""

from cuminhatch.kernel import Kernel, MessageTable, Service
from cuminhatch_standins._fault_injector import (
    IGNORED_CALLER_EVENTS,
    LISTENER,
    FaultsChanged,
)
from cuminhatch_standins._faults import (
    COMMON_FAULTS,
    FaultSpec,
    is_count,
    is_flag,
    is_non_negative_number,
)
from cuminhatch_standins._process import run_standin
from cuminhatch_standins._responses import (
    CompleteRequest,
    decode_path_suffix,
    make_json_response,
    make_response,
)

FAULTS = {
    **COMMON_FAULTS,
    "slow": FaultSpec(0, is_non_negative_number),
    "torn": FaultSpec(0, is_count),
    "missing": FaultSpec(False, is_flag),
}


class ObjectStore(Service):
    """Stores objects in memory and serves them over HTTP."""

    name = "object_store"

    def __init__(self, kernel: Kernel) -> None:
        """
        Create a store without objects.

        :param kernel: kernel of the process.
        """
        super().__init__(kernel)
        self._objects: dict[str, bytes] = {}
        self._reads = 0
        self._writes = 0
        self._torn_reads_left = 0
        self._is_missing = False

    def message_handlers(self) -> MessageTable:
        """Return the handlers for requests and fault changes."""
        return {
            CompleteRequest: self._on_complete_request,
            FaultsChanged: self._on_faults_changed,
            **IGNORED_CALLER_EVENTS,
        }

    def _on_faults_changed(self, message: FaultsChanged) -> None:
        self._is_missing = message.faults["missing"]
        if "torn" in message.names:
            self._torn_reads_left = message.faults["torn"]

    def _on_complete_request(self, request: CompleteRequest) -> None:
        object_name = decode_path_suffix(request, "/objects/")
        if request.path == "/stats":
            stats = {"reads": self._reads, "writes": self._writes}
            self.send(LISTENER, make_json_response(request, 200, stats))
        elif object_name is None or request.method not in ("PUT", "GET", "DELETE"):
            self.send(LISTENER, make_json_response(request, 404, {}))
        elif request.method == "GET":
            self._get(request, object_name)
        else:
            self._writes += 1
            if request.method == "PUT":
                self._objects[object_name] = request.body
            else:
                self._objects.pop(object_name, None)
            self.send(LISTENER, make_json_response(request, 200, {}))

    def _get(self, request: CompleteRequest, object_name: str) -> None:
        self._reads += 1
        data = self._objects.get(object_name)
        if data is None or self._is_missing:
            self.send(LISTENER, make_json_response(request, 404, {}))
            return
        if self._torn_reads_left:
            self._torn_reads_left -= 1
            data = data[: len(data) // 2]
        self.send(LISTENER, make_response(request, 200, data))


def main() -> None:
    """Run the stand-in for the object store."""
    run_standin(ObjectStore, FAULTS, get_delay_ms=lambda faults: faults["slow"])


if __name__ == "__main__":
    main()
