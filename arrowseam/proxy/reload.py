"""Reloads the configuration while connections are established.

All files are read and checked before anything is applied: an invalid file changes nothing.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from arrowseam.config.proxy import Config, ConfigError
from arrowseam.logs import configure_logs, log
from arrowseam.net.task import Coroutine, Task
from arrowseam.proxy.configuration import effective_config, read_nats_settings, read_proxy_config

if TYPE_CHECKING:
    from arrowseam.config.operator import Operator
    from arrowseam.protocols.nats.config import NatsConfig
    from arrowseam.proxy.server import Proxy

FIXED_KEYS = ("name", "listen", "control")  # changes need a restart
FIXED_NATS_KEYS = ("listen", "health", "agent")


class ConfigurationReloader:
    """Reads the files again at SIGHUP, and applies bundles of settings that the proxies agreed on.

    Attributes:
        config_path: path of the configuration file.
        bundle: the agreed settings that override those of the file; empty = none.
        task: the running reload that waits for an operator file.
    """

    def __init__(self, proxy: Proxy) -> None:
        self.proxy = proxy
        self.config_path = ""
        self.bundle = b""
        self.task: Task | None = None
        self._is_requested = False

    def reload(self, path: str, nats_path: str | None, operator_path: str | None) -> None:
        """Read the files again and apply what can change while connections are established.

        Logs what needs a restart, and errors of the files.
        """
        if operator_path is None:
            try:
                config = self._read_again(path)
                self._apply(config, read_nats_settings(config, nats_path, None), None)
            except (OSError, ConfigError) as error:
                self._refuse(error)
            return
        self._is_requested = True
        if self.task is None:
            coroutine = self._reload_with_operator_file(path, nats_path, operator_path)
            self.task = self.proxy.loop.start_task(coroutine, "reload")

    def _reload_with_operator_file(
        self, path: str, nats_path: str | None, operator_path: str
    ) -> Coroutine[None]:
        """Reload with an operator file, which a worker evaluates while the event loop runs."""
        from arrowseam.workers.script import evaluate_in_background

        try:
            while self._is_requested:  # a signal in the meantime asks for files that are not read yet
                self._is_requested = False
                try:
                    config = self._read_again(path, has_operator_file=True)
                    operator = yield from evaluate_in_background(self.proxy.loop, operator_path, config)
                    if not self._is_requested:
                        self._apply(config, read_nats_settings(config, nats_path, operator), operator)
                except (OSError, ConfigError) as error:
                    self._refuse(error)
        finally:
            self.task = None

    def check_bundle(self, bundle: bytes) -> str:
        """Return why a bundle of settings cannot be applied; empty if it can."""
        try:
            self._read_again(self.config_path, True, bundle)
        except (OSError, ConfigError) as error:
            return str(error)
        return ""

    def apply_bundle(self, bundle: bytes) -> str:
        """Apply a bundle in place of the last one; on failure keep the last one and return why."""
        try:
            config = self._read_again(self.config_path, True, bundle)
        except (OSError, ConfigError) as error:
            return str(error)
        self.bundle = bundle
        server = self.proxy.nats_server
        self._apply(config, server.nats_config if server is not None else None, None)
        self.proxy.cluster.update_settings()
        return ""

    def _read_again(self, path: str, has_operator_file: bool = False, bundle: bytes | None = None) -> Config:
        """Read the configuration; raises ConfigError also for the lack of a key that the last one had."""
        config = read_proxy_config(path, has_operator_file, self.bundle if bundle is None else bundle)
        if missing := sorted(self.proxy.config.keys - config.keys):
            raise ConfigError(f"configuration: incomplete, {missing[0].lstrip('.')} is missing")
        return config

    def _refuse(self, error: Exception) -> None:
        self.proxy.request_handler.statistics.reloads_failed += 1
        log("reload.refused", f"reload: {error}; the old settings remain in effect", "error")

    def _apply(self, config: Config, nats_config: NatsConfig | None, operator: Operator | None) -> None:
        """Apply what has been read and checked."""
        proxy = self.proxy
        previous = proxy.config
        proxy.request_handler.statistics.reloads_succeeded += 1
        need_restart = [key for key in FIXED_KEYS if getattr(config, key) != getattr(previous, key)]
        need_restart += self._apply_nats(nats_config)
        fixed = {key: getattr(previous, key) for key in FIXED_KEYS}
        config = replace(effective_config(config, nats_config), **fixed)
        proxy.set_config(config)
        indices_changed = (config.zones, config.machine_types) != (previous.zones, previous.machine_types)
        if indices_changed:
            proxy.discovery.request_update(complete=True)
        proxy.discovery.start()
        if operator is not None:
            self._apply_operator(operator, config, indices_changed)
        proxy.loop.set_descriptor_limit(config.descriptor_limit)
        proxy.discovery.switch_to(config.discovery)
        unapplied = f"; changed but kept until a restart: {', '.join(need_restart)}" if need_restart else ""
        log("reload.done", f"reload: done{unapplied}")

    def _apply_nats(self, nats_config: NatsConfig | None) -> list[str]:
        """Apply the NATS settings; return the changed keys that need a restart."""
        server = self.proxy.nats_server
        if server is None or nats_config is None:
            return []
        fixed = {key: getattr(server.nats_config, key) for key in FIXED_NATS_KEYS}
        need_restart = [f"nats {key}" for key, value in fixed.items() if getattr(nats_config, key) != value]
        server.nats_config = replace(nats_config, **fixed)
        return need_restart

    def _apply_operator(self, operator: Operator, config: Config, indices_changed: bool) -> None:
        proxy = self.proxy
        if proxy.endpoint_sources is None:
            return
        proxy.endpoint_sources.config = config
        if indices_changed:
            proxy.endpoint_sources.republish_endpoints()
        proxy.endpoint_sources.configure(operator)
        proxy.cluster.configure(operator)
        configure_logs(operator.log.format, operator.log.level)
