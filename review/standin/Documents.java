/** Configurations of a small deployment, as the operator writes them. */
final class Documents {
    private Documents() {}

    static final String LIMITS =
            "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":5000,\"idleTimeoutMs\":20000}";

    static String config(int version, String routes, String services) {
        return "{\"version\":%d,\"routes\":[%s],\"services\":[%s],\"limits\":%s}".formatted(version, routes, services, LIMITS);
    }

    static String route(String name, String type, String service, int timeoutMillis, String more) {
        return ("{\"name\":\"%s\",\"host\":\"x.example\",\"prefix\":\"/%s/\",\"service\":\"%s\",\"type\":\"%s\","
                        + "\"timeoutMs\":%d,\"targetLatencyMs\":400,\"maxAttempts\":2,\"priority\":1%s}")
                .formatted(name, name, service, type, timeoutMillis, more);
    }

    static String service(String name) {
        return ("{\"name\":\"%s\",\"healthPath\":\"/healthz\",\"maxConnections\":150,"
                        + "\"engine\":{\"chunkTokens\":8,\"slots\":12}}")
                .formatted(name);
    }
}
