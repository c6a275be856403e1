package org.tamarackfold.operator.toml;

import io.vavr.collection.Vector;
import io.vavr.control.Either;
import io.vavr.control.Option;
import java.time.Duration;
import org.tamarackfold.id.ReleaseVersion;
import org.tamarackfold.id.RouteName;
import org.tamarackfold.id.ServiceName;
import org.tamarackfold.operator.CallSemantics;
import org.tamarackfold.operator.CallerLimits;
import org.tamarackfold.operator.CustomerFieldNames;
import org.tamarackfold.operator.CustomerReader;
import org.tamarackfold.operator.Release;
import org.tamarackfold.operator.Route;
import org.tamarackfold.operator.ServiceDefinition;
import org.tamarackfold.operator.WeightedService;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.dataformat.toml.TomlMapper;

/** Parser for releases in the TOML format of tamarackfold. */
public final class ReleaseFile {
    private static final CustomerFieldNames CUSTOMER_FIELDS =
            new CustomerFieldNames(
                    "customers", "name", "keys", "priority", "calls_per_second", "burst");

    private ReleaseFile() {}

    /** Parses a release; left is the reason why the text is malformed. */
    public static Either<String, Release> read(String text) {
        try {
            JsonNode root = new TomlMapper().readTree(text);
            return Either.right(
                    new Release(
                            version(root.path("version")),
                            DocumentTrees.elements(root, "routes", ReleaseFile::route),
                            DocumentTrees.elements(root, "services", ReleaseFile::service),
                            CallerLimits.DEFAULT,
                            new CustomerReader(CUSTOMER_FIELDS)
                                    .read(DocumentTrees.value(root.path("customers")))));
        } catch (JacksonException e) {
            return Either.left(DocumentTrees.describe(e));
        } catch (IllegalArgumentException | NullPointerException e) {
            return Either.left(String.valueOf(e.getMessage()));
        }
    }

    private static ReleaseVersion version(JsonNode node) {
        if (node.isMissingNode()) {
            throw new IllegalArgumentException("version is missing");
        }
        return new ReleaseVersion(node.asLong(-1));
    }

    private static Route route(JsonNode node) {
        CallSemantics callSemantics = callSemantics(text(node, "kind"));
        return Route.builder()
                .name(new RouteName(text(node, "name")))
                .host(text(node, "host"))
                .prefix(text(node, "prefix"))
                .callSemantics(callSemantics)
                .services(Vector.of(new WeightedService(new ServiceName(text(node, "service")), 1)))
                .timeout(Duration.ofMillis(node.path("timeout_ms").asLong(30_000)))
                .maximumAttempts(Option.of(node.get("maximum_attempts")).map(JsonNode::asInt))
                .keepsHistory(node.path("keeps_history").asBoolean(false))
                .retention(Duration.ofSeconds(node.path("retention_s").asLong(60)))
                .usesTokenBudget(callSemantics.isStream())
                .isPublic(DocumentTrees.flag(node, "public"))
                .build();
    }

    private static CallSemantics callSemantics(String kind) {
        return switch (kind) {
            case "idempotent" -> CallSemantics.IDEMPOTENT;
            case "at_most_once" -> CallSemantics.AT_MOST_ONCE;
            case "resumable_stream" -> CallSemantics.RESUMABLE_STREAM;
            case "stream" -> CallSemantics.AT_MOST_ONCE_STREAM;
            default -> throw new IllegalArgumentException("kind is unknown: " + kind);
        };
    }

    private static ServiceDefinition service(JsonNode node) {
        return new ServiceDefinition(
                new ServiceName(text(node, "name")),
                node.path("health_path").asString("/health"),
                node.path("maximum_connections").asInt(100),
                node.path("tokens_per_event").asInt(0),
                node.path("slots").asInt(1));
    }

    private static String text(JsonNode node, String key) {
        if (!node.path(key).isString()) {
            throw new IllegalArgumentException(key + " is missing");
        }
        return node.path(key).asString();
    }
}
