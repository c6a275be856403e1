import java.nio.file.Path;
import java.util.List;

/** Engines that send bytes that are not a response of the protocol. */
final class Case3 {
    private static final String FOREIGN =
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: 20\r\n\r\nService is starting.";

    private Case3() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Records records = new Records(Path.of(arguments[1]));
                Platform platform = new Platform();
                Hosts hosts = new Hosts(Path.of(arguments[0]), platform.port)) {
            Plain plain = new Plain(records, hosts);
            status = plain.play(platform, trouble, soundAndOftenClosing(), foreign()) ? judge(records, plain) : 2;
            if (trouble && plain.spoiled.get() == 0) {
                status = 2;
            }
            records.say("exit " + status);
        }
        System.exit(status);
    }

    /** A sound engine that ends one connection in ten after its answer, and says so in it. */
    private static Engine.Behaviour soundAndOftenClosing() {
        return (engine, request, out, in) -> {
            boolean closes = request.id().endsWith("0");
            engine.records.add("run " + request.id() + " at " + engine.id);
            Thread.sleep(30);
            String body = "done " + request.id() + "\n";
            out.write(
                    Engine.bytes(
                            engine.head(request, 200)
                                    + (closes ? "Connection: close\r\n" : "")
                                    + "Content-Length: " + body.length() + "\r\n\r\n" + body));
            return !closes;
        };
    }

    private static Engine.Behaviour foreign() {
        return (engine, request, out, in) -> {
            engine.records.add("run " + request.id() + " at " + engine.id + ", bytes that are not a response");
            Thread.sleep(30);
            out.write(Engine.bytes(FOREIGN));
            out.flush();
            Thread.sleep(20);
            return false;
        };
    }

    private static int judge(Records records, Plain plain) {
        List<Plain.Outcome> unsigned =
                plain.outcomes.stream()
                        .filter(outcome -> outcome.answer().status() / 100 == 2 && outcome.answer().whole())
                        .filter(outcome -> !outcome.answer().headers().containsKey("X-Tamarackfold-Response-Signature"))
                        .toList();
        for (Plain.Outcome outcome : unsigned) {
            records.say("a success without a signature: " + outcome.id() + (outcome.safe() ? " safe" : " unsafe") + ", body: " + outcome.answer().text());
        }
        records.say(unsigned.isEmpty() ? "MIXED holds" : "MIXED is broken " + unsigned.size() + " times");
        return unsigned.isEmpty() ? 0 : 1;
    }
}
