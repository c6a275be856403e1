package org.tamarackfold.operator;

import io.vavr.collection.Seq;
import java.util.function.Function;

/** A value of a document that operators write, independent of the format of the document. */
public sealed interface DocumentValue {
    /** The field is missing or null. */
    record Absent() implements DocumentValue {}

    /**
     * A text, which may be a key: it does not appear in {@link #toString}.
     *
     * @param value the text
     */
    record Text(String value) implements DocumentValue {
        @Override
        public String toString() {
            return "Text[" + value.length() + " characters]";
        }
    }

    /**
     * A number, possibly an infinite one.
     *
     * @param value the nearest value
     */
    record Numeric(double value) implements DocumentValue {}

    /**
     * A list.
     *
     * @param elements the values in their order
     */
    record Sequence(Seq<DocumentValue> elements) implements DocumentValue {}

    /**
     * A table of fields, which are converted when they are read: a release may have 18,000 tables.
     *
     * @param fields returns the value of a field by its name
     */
    record Table(Function<String, DocumentValue> fields) implements DocumentValue {
        /** Returns a field. */
        public DocumentValue field(String name) {
            return fields.apply(name);
        }
    }

    /** A value of a type that no field of customers has. */
    record Other() implements DocumentValue {}
}
