package org.tamarackfold.settings.toml;

import io.vavr.collection.HashMap;
import io.vavr.collection.HashSet;
import io.vavr.collection.Map;
import io.vavr.collection.Set;
import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.tamarackfold.id.Address;
import org.tamarackfold.id.AvailabilityZone;
import org.tamarackfold.id.HostId;
import org.tamarackfold.settings.CustomerSettings;
import org.tamarackfold.settings.HostRole;
import org.tamarackfold.settings.HostSettings;
import org.tamarackfold.settings.KeyValueSettings;
import org.tamarackfold.settings.PropagationBounds;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.dataformat.toml.TomlMapper;

/** Reads and validates a settings file. All errors are reported together, each with its key. */
public final class SettingsFile {
    /** Known keys of each table; the empty name denotes the root table. */
    private static final Map<String, Set<String>> KNOWN_KEYS =
            HashMap.of(
                    "",
                    HashSet.of(
                            "role",
                            "host",
                            "availability_zone",
                            "adapter",
                            "processor_share",
                            "listeners",
                            "key_value",
                            "storage",
                            "shutdown",
                            "directory",
                            "propagation",
                            "customers",
                            "placement"),
                    "listeners",
                    HashSet.of("callers", "readiness", "directory", "peers", "metrics"),
                    "key_value",
                    HashSet.of("address", "minimum_lease_ms"),
                    "storage",
                    HashSet.of("folder", "disk_mb", "tolerated_losses"),
                    "shutdown",
                    HashSet.of("grace_s"),
                    "directory",
                    HashSet.of("time_to_live_ms"),
                    "propagation",
                    HashSet.of("recovery_ms", "release_ms", "drain_ms", "followers"),
                    "customers",
                    HashSet.of(
                            "withdrawal_ms",
                            "fail_closed",
                            "limit_window_s",
                            "limit_overshoot",
                            "limit_tolerance"),
                    "placement",
                    HashSet.of("learned_cost", "minimum_hosts", "fair_share"));

    /** Placeholder for a missing string, so that validation continues and reports all errors. */
    private static final String PLACEHOLDER_STRING = "missing";

    private static final int MILLIS_PER_CORE = 1_000;

    /** Upper bound of the processor share, in cores. */
    private static final double MAXIMUM_PROCESSOR_SHARE = 1024;

    /** Upper bound of the propagation times, in milliseconds. */
    private static final int MAXIMUM_PROPAGATION_MILLIS = 600_000;

    /** Upper bound of the entry hosts from which on placement is learned. */
    private static final int MAXIMUM_MINIMUM_HOSTS = 100_000;

    /** Placeholder for a missing or malformed address. */
    private static final Address PLACEHOLDER_ADDRESS = new Address("0.0.0.0", 1);

    /** Upper bound of the shutdown grace period, in seconds. */
    private static final double MAXIMUM_GRACE_SECONDS = 3600;

    private final String fileName;
    private final JsonNode root;
    private Vector<String> errors = Vector.empty();

    private SettingsFile(String fileName, JsonNode root) {
        this.fileName = fileName;
        this.root = root;
    }

    /** Reads a settings file; left holds one message for each error. */
    public static Either<Vector<String>, HostSettings> read(Path path) {
        JsonNode root;
        try {
            root = new TomlMapper().readTree(Files.readString(path));
        } catch (IOException e) {
            return Either.left(Vector.of(path + ": cannot be read: " + e));
        } catch (JacksonException e) {
            return Either.left(Vector.of(path + ": is not TOML: " + e.getOriginalMessage()));
        }
        SettingsFile settingsFile = new SettingsFile(path.getFileName().toString(), root);
        HostSettings settings = settingsFile.settings();
        return settingsFile.errors.isEmpty()
                ? Either.right(settings)
                : Either.left(settingsFile.errors);
    }

    private HostSettings settings() {
        checkKeys("", root);
        for (String table : KNOWN_KEYS.keySet().reject(String::isEmpty)) {
            checkKeys(table, root.path(table));
        }
        String role = string("", "role");
        HostSettings.Builder builder = HostSettings.builder();
        if ("entry".equals(role) || "storage".equals(role)) {
            builder.role("entry".equals(role) ? HostRole.ENTRY : HostRole.STORAGE);
        } else {
            addError("role", "must be entry or storage, is " + role);
        }
        try {
            setValues(builder, "entry".equals(role));
            return errors.isEmpty() ? builder.build() : null;
        } catch (IllegalArgumentException e) {
            errors = errors.append(fileName + ": " + e.getMessage());
            return null;
        }
    }

    private void setValues(HostSettings.Builder builder, boolean isEntryHost) {
        builder.host(new HostId(string("", "host")))
                .zone(new AvailabilityZone(string("", "availability_zone")))
                .adapterName(string("", "adapter"))
                .peerAddress(address("listeners", "peers"))
                .metricsAddress(address("listeners", "metrics"))
                .keyValue(
                        new KeyValueSettings(
                                address("key_value", "address"),
                                Duration.ofMillis(
                                        integer("key_value", "minimum_lease_ms", 1, 600_000))))
                .toleratedLosses(integer("storage", "tolerated_losses", 0, 16))
                .shutdownGrace(seconds("shutdown", "grace_s"))
                .directoryTimeToLive(
                        Duration.ofMillis(integer("directory", "time_to_live_ms", 100, 60_000)))
                .propagationBounds(propagationBounds())
                .processorMillis(processorMillis())
                .customers(customerSettings())
                .learnedPlacement(isTrue("placement", "learned_cost"))
                .placementMinimumHosts(placementMinimumHosts())
                .fairShares(fairShares());
        if (isEntryHost) {
            builder.callerAddress(Option.some(address("listeners", "callers")))
                    .readinessAddress(Option.some(address("listeners", "readiness")))
                    .directoryAddress(Option.some(address("listeners", "directory")));
            return;
        }
        builder.dataFolder(Option.some(Path.of(string("storage", "folder"))))
                .diskMegabytes(diskMegabytes());
    }

    /** Reads the size of the disk; settings without it set no limit to the log. */
    private int diskMegabytes() {
        return node("storage", "disk_mb").isMissingNode()
                ? 0
                : integer("storage", "disk_mb", 0, 10_000_000);
    }

    /** Reads the propagation table; settings without it are those of earlier versions. */
    private PropagationBounds propagationBounds() {
        if (root.path("propagation").isMissingNode()) {
            return PropagationBounds.DEFAULT;
        }
        return new PropagationBounds(
                propagationTime("recovery_ms"),
                propagationTime("release_ms"),
                propagationTime("drain_ms"),
                isTrue("propagation", "followers"));
    }

    /** Reads the customers table; a deployment without customers has none. */
    private Option<CustomerSettings> customerSettings() {
        if (root.path("customers").isMissingNode()) {
            return Option.none();
        }
        return Option.some(
                new CustomerSettings(
                        Duration.ofMillis(
                                integer(
                                        "customers",
                                        "withdrawal_ms",
                                        1,
                                        MAXIMUM_PROPAGATION_MILLIS)),
                        isTrue("customers", "fail_closed"),
                        seconds("customers", "limit_window_s"),
                        fraction("customers", "limit_overshoot"),
                        integer("customers", "limit_tolerance", 0, 1_000_000)));
    }

    private int placementMinimumHosts() {
        return node("placement", "minimum_hosts").isMissingNode()
                ? 0
                : integer("placement", "minimum_hosts", 0, MAXIMUM_MINIMUM_HOSTS);
    }

    private boolean fairShares() {
        boolean enabled = isTrue("placement", "fair_share");
        if (enabled && !node("placement", "learned_cost").asBoolean(false)) {
            addError("placement.fair_share", "requires learned_cost = true");
        }
        return enabled;
    }

    /** Returns a value that is false when it is absent. */
    private boolean isTrue(String table, String key) {
        JsonNode node = node(table, key);
        if (!node.isMissingNode() && !node.isBoolean()) {
            addError(qualifiedKey(table, key), "must be true or false" + actualValue(node));
        }
        return node.asBoolean(false);
    }

    private double fraction(String table, String key) {
        JsonNode node = node(table, key);
        if (!node.isNumber() || node.asDouble() < 0 || node.asDouble() > 1) {
            addError(qualifiedKey(table, key), "must be a number from 0 to 1" + actualValue(node));
            return 0;
        }
        return node.asDouble();
    }

    /** Reads the share of a processor core; settings without it are those of earlier versions. */
    private int processorMillis() {
        JsonNode node = root.path("processor_share");
        if (node.isMissingNode()) {
            return MILLIS_PER_CORE;
        }
        if (!node.isNumber() || node.asDouble() <= 0 || node.asDouble() > MAXIMUM_PROCESSOR_SHARE) {
            addError("processor_share", "must be a number of processor cores" + actualValue(node));
            return MILLIS_PER_CORE;
        }
        return (int) Math.max(1, Math.round(node.asDouble() * MILLIS_PER_CORE));
    }

    private Duration propagationTime(String key) {
        return Duration.ofMillis(integer("propagation", key, 1, MAXIMUM_PROPAGATION_MILLIS));
    }

    private void checkKeys(String table, JsonNode node) {
        Set<String> known = KNOWN_KEYS.get(table).get();
        for (String key : node.propertyNames()) {
            if (!known.contains(key)) {
                addError(qualifiedKey(table, key), "is not a known key");
            }
        }
    }

    private JsonNode node(String table, String key) {
        return (table.isEmpty() ? root : root.path(table)).path(key);
    }

    private String string(String table, String key) {
        JsonNode node = node(table, key);
        if (!node.isString() || node.asString().isEmpty()) {
            addError(qualifiedKey(table, key), "is missing; a text is expected");
            return PLACEHOLDER_STRING;
        }
        return node.asString();
    }

    private Address address(String table, String key) {
        int errorsBefore = errors.size();
        String value = string(table, key);
        if (errors.size() > errorsBefore) {
            return PLACEHOLDER_ADDRESS;
        }
        try {
            return Address.parse(value);
        } catch (IllegalArgumentException e) {
            addError(qualifiedKey(table, key), "must be ip:port, is " + value);
            return PLACEHOLDER_ADDRESS;
        }
    }

    private int integer(String table, String key, int minimum, int maximum) {
        JsonNode node = node(table, key);
        boolean fits = node.isIntegralNumber() && node.canConvertToInt();
        if (!fits || node.asInt() < minimum || node.asInt() > maximum) {
            addError(
                    qualifiedKey(table, key),
                    "must be a whole number from "
                            + minimum
                            + " to "
                            + maximum
                            + actualValue(node));
            return minimum;
        }
        return node.asInt();
    }

    private Duration seconds(String table, String key) {
        JsonNode node = node(table, key);
        if (!node.isNumber() || node.asDouble() <= 0 || node.asDouble() > MAXIMUM_GRACE_SECONDS) {
            addError(qualifiedKey(table, key), "must be a number of seconds" + actualValue(node));
            return Duration.ofSeconds(1);
        }
        return Duration.ofMillis(Math.round(node.asDouble() * 1000));
    }

    private static String actualValue(JsonNode node) {
        return node.isMissingNode() ? ", is missing" : ", is " + node;
    }

    private static String qualifiedKey(String table, String key) {
        return table.isEmpty() ? key : table + "." + key;
    }

    private void addError(String key, String message) {
        errors = errors.append(fileName + ": " + key + " " + message);
    }
}
