package org.tamarackfold.daemon.command.http;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.Locale;
import tools.jackson.core.JacksonException;
import tools.jackson.databind.JsonNode;
import tools.jackson.databind.json.JsonMapper;

/** The customers of a running host as a table of text. */
public final class CustomerTable {
    private static final String ROW = "%-32s %10s %12s %12s %10s %10s%n";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);
    private static final int OK = 200;
    private static final JsonMapper MAPPER = JsonMapper.builder().build();

    private CustomerTable() {}

    /**
     * Reads the customers of a host.
     *
     * @param address the metrics address of the host, as {@code ip:port}
     * @throws IOException when the host does not answer, or answers something else
     * @throws IllegalArgumentException when the address is malformed
     */
    public static String read(String address) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + address + "/customers"))
                        .timeout(TIMEOUT)
                        .build();
        try (HttpClient client = HttpClient.newBuilder().connectTimeout(TIMEOUT).build()) {
            HttpResponse<byte[]> response =
                    client.send(request, HttpResponse.BodyHandlers.ofByteArray());
            if (response.statusCode() != OK) {
                throw new IOException("status " + response.statusCode());
            }
            return format(MAPPER.readTree(response.body()).path("customers"));
        } catch (JacksonException e) {
            throw new IOException("the response is not a list of customers", e);
        }
    }

    private static String format(JsonNode customers) throws IOException {
        if (!customers.isArray()) {
            throw new IOException("the response is not a list of customers");
        }
        StringBuilder table = new StringBuilder();
        table.append(row("CUSTOMER", "CALLS/S", "ALLOWED", "REFUSED", "LIMIT/S", "BURST"));
        for (JsonNode customer : customers) {
            table.append(
                    row(
                            customer.path("name").asString(),
                            customer.path("calls_per_second").asString(),
                            customer.path("allowed").asString(),
                            customer.path("refused").asString(),
                            customer.path("limit_per_second").asString(),
                            customer.path("limit_burst").asString()));
        }
        return table.toString();
    }

    private static String row(Object... columns) {
        return String.format(Locale.ROOT, ROW, columns);
    }
}
