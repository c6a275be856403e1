package org.tamarackfold.operator.toml;

import io.vavr.collection.Vector;
import java.util.function.Function;
import org.tamarackfold.operator.DocumentValue;
import tools.jackson.core.JacksonException;
import tools.jackson.core.TokenStreamLocation;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.exc.JsonNodeException;

/** Reads documents that the Jackson library has parsed, whatever their format. */
public final class DocumentTrees {
    private DocumentTrees() {}

    /** Returns a value of a parsed document. */
    public static DocumentValue value(JsonNode node) {
        return switch (node.getNodeType()) {
            case MISSING, NULL -> new DocumentValue.Absent();
            case STRING -> new DocumentValue.Text(node.stringValue());
            case NUMBER -> new DocumentValue.Numeric(node.numberValue().doubleValue());
            case ARRAY -> new DocumentValue.Sequence(Vector.ofAll(node).map(DocumentTrees::value));
            case OBJECT -> new DocumentValue.Table(field -> value(node.path(field)));
            case BINARY, BOOLEAN, POJO -> new DocumentValue.Other();
        };
    }

    /**
     * Returns a field that is true or false; false when it is missing or null.
     *
     * @throws IllegalArgumentException when it has another type
     */
    public static boolean flag(JsonNode node, String field) {
        JsonNode value = node.path(field);
        if (value.isMissingNode() || value.isNull()) {
            return false;
        }
        if (!value.isBoolean()) {
            throw new IllegalArgumentException(field + " is neither true nor false");
        }
        return value.booleanValue();
    }

    /**
     * Reads the elements of a list. Errors name the list and the position of the element.
     *
     * @throws IllegalArgumentException when an element is malformed
     */
    public static <T> Vector<T> elements(
            JsonNode document, String list, Function<JsonNode, T> element) {
        return Vector.ofAll(document.path(list))
                .zipWithIndex(
                        (node, index) -> {
                            try {
                                return element.apply(node);
                            } catch (JacksonException e) {
                                throw malformed(list, index, describe(e), e);
                            } catch (IllegalArgumentException e) {
                                throw malformed(list, index, e.getMessage(), e);
                            }
                        });
    }

    private static IllegalArgumentException malformed(
            String list, int index, String problem, RuntimeException cause) {
        return new IllegalArgumentException(
                list + " number " + (index + 1) + ": " + problem, cause);
    }

    /**
     * Describes an error of the parser. Only its position in the document is given, because the
     * messages of the parser quote the document, which may hold keys. Errors in the conversion of a
     * single value name its type.
     */
    public static String describe(JacksonException error) {
        if (error instanceof JsonNodeException) {
            return error.getOriginalMessage();
        }
        TokenStreamLocation location = error.getLocation();
        return location == null
                ? "the document is malformed"
                : "the document is malformed at line "
                        + location.getLineNr()
                        + ", column "
                        + location.getColumnNr();
    }
}
