/** Starts daemon threads with small stacks. */
final class Threads {
    private static final long STACK_BYTES = 256 * 1024;

    private Threads() {}

    interface Work {
        void run() throws Exception;
    }

    static Thread start(Work work) {
        Thread thread =
            new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (Exception e) {
                        // A thread ends with its connection or with the run.
                    }
                },
                "standin",
                STACK_BYTES);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
