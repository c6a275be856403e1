package org.tamarackfold.operator.check.runtime;

import java.util.Locale;
import org.tamarackfold.operator.check.CheckReport;
import tools.jackson.databind.SerializationFeature;
import tools.jackson.databind.json.JsonMapper;
import tools.jackson.databind.node.ArrayNode;
import tools.jackson.databind.node.ObjectNode;

/** Encodes the report on a release file as JSON, for programs. */
public final class JsonReport {
    private static final JsonMapper MAPPER =
            JsonMapper.builder().enable(SerializationFeature.INDENT_OUTPUT).build();

    private JsonReport() {}

    /** Returns the report as an object, with a line end. */
    public static String encode(CheckReport report) {
        ObjectNode root = MAPPER.createObjectNode();
        root.put("file", report.file());
        report.version().forEach(version -> root.put("version", version.value()));
        ArrayNode findings = root.putArray("findings");
        report.findings()
                .forEach(
                        finding ->
                                findings.addObject()
                                        .put("severity", lowerCase(finding.severity()))
                                        .put("subject", finding.subject())
                                        .put("message", finding.message()));
        ArrayNode differences = root.putArray("differences");
        report.differences()
                .forEach(
                        difference ->
                                differences
                                        .addObject()
                                        .put("subject", difference.subject())
                                        .put("message", difference.message()));
        return MAPPER.writeValueAsString(root) + "\n";
    }

    private static String lowerCase(Enum<?> value) {
        return value.name().toLowerCase(Locale.ROOT);
    }
}
