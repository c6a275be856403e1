import java.nio.file.Path;
import java.util.List;

/** Engines whose answers break off after an interim head. */
final class Case4 {
    private Case4() {}

    public static void main(String[] arguments) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try (Records records = new Records(Path.of(arguments[1]));
                Platform platform = new Platform();
                Hosts hosts = new Hosts(Path.of(arguments[0]), platform.port)) {
            Plain plain = new Plain(records, hosts);
            status = plain.play(platform, trouble, Engine.sound(30), breakingOff()) ? judge(records, plain) : 2;
            if (trouble && plain.spoiled.get() == 0) {
                status = 2;
            }
            records.say("exit " + status);
        }
        System.exit(status);
    }

    private static Engine.Behaviour breakingOff() {
        return (engine, request, out, in) -> {
            engine.records.add("run " + request.id() + " at " + engine.id + ", the answer breaks off after its interim head");
            Thread.sleep(30);
            out.write(Engine.bytes("HTTP/1.1 102 Processing\r\nX-Tamarackfold-Request-Id: " + request.id() + "\r\n\r\n"));
            out.flush();
            Thread.sleep(20);
            return false;
        };
    }

    private static int judge(Records records, Plain plain) {
        List<Plain.Outcome> late =
                plain.outcomes.stream().filter(outcome -> outcome.millis() >= Plain.TIMEOUT_MILLIS).toList();
        List<Plain.Outcome> unanswered =
                late.stream()
                        .filter(outcome -> !outcome.answer().whole() || outcome.millis() >= Plain.TIMEOUT_MILLIS + 500)
                        .toList();
        records.say("without an answer at timeoutMs: " + late.size() + ", half a second later: " + unanswered.size());
        boolean broken = unanswered.size() > 3 && unanswered.size() * 2 > late.size();
        records.say(broken ? "CONFIG is broken" : "CONFIG holds");
        return broken ? 1 : 0;
    }
}
