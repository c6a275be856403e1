package org.tamarackfold.daemon;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import org.tamarackfold.log.StructuredLog;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.toml.SettingsFile;

/** Checks the settings file again on a hang-up signal, which would otherwise end the process. */
final class SettingsReload {
    private SettingsReload() {}

    /** Takes over the hang-up signal; the JDK offers this only by an unsupported class. */
    static void install(Path file, StructuredLog log) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object reaction =
                    Proxy.newProxyInstance(
                            handler.getClassLoader(),
                            new Class<?>[] {handler},
                            (proxy, method, arguments) -> {
                                if (method.getName().equals("handle")) {
                                    reload(file, log);
                                }
                                return null;
                            });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), reaction);
        } catch (ReflectiveOperationException e) {
            log.event("reload_unavailable").with("reason", e).warn();
        }
    }

    private static void reload(Path file, StructuredLog log) {
        Either<Vector<String>, HostSettings> settings = SettingsFile.read(file);
        if (settings.isLeft()) {
            log.event("reload_rejected").with("errors", settings.getLeft().mkString("; ")).warn();
            return;
        }
        log.event("reloaded").with("host", settings.get().host()).info();
    }
}
