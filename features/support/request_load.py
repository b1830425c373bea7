"""Callers that send requests without pause over persistent connections."""

import http.client
import itertools
import json
import threading
from typing import Any

from .requests import RequestSite


class SteadyLoad:
    """Two callers per gateway; on a refused connection they use the next gateway."""

    def __init__(self, request_site: RequestSite, **fields: Any) -> None:
        self.request_site = request_site
        self.fields = fields
        self.done: list[str] = []
        self.problems: list[str] = []
        self._stop = threading.Event()
        addresses = [
            request_site.site.addresses[n]
            for n in request_site.site.list_gateways()
            for _ in range(2)
        ]
        count = len(addresses)
        self._threads = [
            threading.Thread(target=self._run, args=(addresses[i:] + addresses[:i],))
            for i in range(count)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _run(self, addresses: list[str]) -> None:
        address_cycle = itertools.cycle(addresses)
        connection = _connect(next(address_cycle))
        while not self._stop.is_set():
            request = self.request_site.make(**self.fields)
            while not self._ask(connection, request) and not self._stop.is_set():
                connection.close()
                connection = _connect(next(address_cycle))
        connection.close()

    def _ask(self, connection: http.client.HTTPConnection, request: Any) -> bool:
        """Return whether the connection was accepted; record any problem."""
        path = f"/v1/services/{self.request_site.site.layout.service}/requests"
        try:
            connection.request("POST", path, body=json.dumps(request))
            answer = json.loads(connection.getresponse().read())
        except ConnectionRefusedError:
            return False
        except (OSError, http.client.HTTPException) as error:
            self.problems.append(f"{request['id']}: cut: {error!r}")
            connection.close()
            return True
        self.done.append(request["id"])
        if answer.get("outcome") != "done":
            self.problems.append(f"{request['id']}: {answer}")
        return True


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port), timeout=30)
