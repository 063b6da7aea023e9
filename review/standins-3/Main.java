import java.nio.file.Path;

/** Runs one case: Main NAME CASE_DIRECTORY, in the root of the repository. */
public final class Main {
    /** A run that has not ended by then ends its processes and counts as not run. */
    private static final long MAX_MILLIS = 116_000;

    private Main() {}

    public static void main(String[] arguments) {
        Path root = Path.of("").toAbsolutePath();
        Path directory = Path.of(arguments[1]).toAbsolutePath();
        boolean isTroubled = !"0".equals(System.getenv("TROUBLE"));
        Threads.start(
            () -> {
                Threads.sleep(MAX_MILLIS);
                Router.killAll();
                System.out.println("exit 2: the run took too long");
                Runtime.getRuntime().halt(2);
            });
        Runtime.getRuntime().addShutdownHook(new Thread(Router::killAll));
        int code;
        try {
            code =
                switch (arguments[0].split(":")[0]) {
                    case "rollout" -> RolloutCase.run(root, directory, arguments[0].split(":")[1], isTroubled);
                    case "drill" -> DrillCase.run(root, directory, arguments[0].split(":")[1], isTroubled);
                    case "poison" -> PoisonCase.run(root, directory, arguments[0].split(":")[1], isTroubled);
                    default -> throw new IllegalArgumentException(arguments[0]);
                };
        } catch (Exception e) {
            e.printStackTrace();
            code = 2;
        }
        Router.killAll();
        System.out.println("exit " + code);
        Runtime.getRuntime().halt(code);
    }
}
