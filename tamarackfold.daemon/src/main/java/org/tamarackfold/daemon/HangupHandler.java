package org.tamarackfold.daemon;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.toml.SettingsFile;

/**
 * Handles SIGHUP, which would otherwise end the process: checks the settings file again and logs
 * the result. The running host keeps its settings.
 */
final class HangupHandler {
    private HangupHandler() {}

    /** Installs the signal handler by reflection, because the JDK supports no public API for it. */
    static void install(Path file, StructuredLog log) {
        try {
            Class<?> signalClass = Class.forName("sun.misc.Signal");
            Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
            Object signalHandler =
                    Proxy.newProxyInstance(
                            handlerClass.getClassLoader(),
                            new Class<?>[] {handlerClass},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    checkSettings(file, log);
                                }
                                return null;
                            });
            signalClass
                    .getMethod("handle", signalClass, handlerClass)
                    .invoke(
                            null,
                            signalClass.getConstructor(String.class).newInstance("HUP"),
                            signalHandler);
        } catch (ReflectiveOperationException e) {
            log.event("reload_unavailable").with("reason", e).warn();
        }
    }

    private static void checkSettings(Path file, StructuredLog log) {
        Either<Vector<String>, HostSettings> settings = SettingsFile.read(file);
        if (settings.isLeft()) {
            log.event("reload_rejected").with("errors", settings.getLeft().mkString("; ")).warn();
            return;
        }
        log.event("reloaded").with("host", settings.get().host()).info();
    }
}
