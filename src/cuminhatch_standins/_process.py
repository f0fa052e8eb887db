"""Entry point of the stand-in programs: flags, kernel and listener."""

from collections.abc import Callable, Mapping

from absl import app, flags

from cuminhatch.arguments import refuse_arguments
from cuminhatch.errors import CuminhatchError
from cuminhatch.kernel import Kernel, Service
from cuminhatch.messages import Address
from cuminhatch_standins._fault_injector import FaultInjector
from cuminhatch_standins._faults import Faults, FaultSpec
from cuminhatch_standins._listener import StandinListener

flags.DEFINE_string("host", "127.0.0.1", "IP address to listen on.")
flags.DEFINE_integer("port", 0, "TCP port to listen on.")


def run_standin(
    make_service: Callable[[Kernel], Service],
    specs: Mapping[str, FaultSpec],
    is_body_needed: Callable[[str], bool] = lambda path: True,
    get_delay_ms: Callable[[Faults], float] = lambda faults: 0.0,
) -> None:
    """
    Run a stand-in program until it is stopped.

    :param make_service: builds the service that handles requests.
    :param specs: faults of the stand-in.
    :param is_body_needed: tells whether the bodies of requests for a path
        are needed.
    :param get_delay_ms: returns the delay of requests in milliseconds
        for the current values of the faults.
    """

    def main(arguments: list[str]) -> None:
        refuse_arguments(arguments[0], arguments)
        kernel = Kernel()
        service = kernel.register(make_service(kernel))
        fault_injector = FaultInjector(
            kernel, service.name, specs, is_body_needed, get_delay_ms
        )
        kernel.register(fault_injector)
        address = Address(flags.FLAGS.host, flags.FLAGS.port)
        kernel.register(StandinListener(kernel, address, fault_injector.name))
        try:
            kernel.open()
            kernel.run()
        except CuminhatchError as error:
            raise SystemExit(f"{service.name}: {error}") from error

    app.run(main)
