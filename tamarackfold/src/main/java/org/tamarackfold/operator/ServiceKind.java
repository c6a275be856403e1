package org.tamarackfold.operator;

/** Kind of the endpoints of a service. */
public enum ServiceKind {
    MODEL_ENGINE,
    APPLICATION_ENGINE,
    TOOL_SERVICE
}
