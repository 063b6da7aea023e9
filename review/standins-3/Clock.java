/** Milliseconds since the start of the run. */
final class Clock {
    private static final long START_NANOS = System.nanoTime();

    private Clock() {}

    static long millis() {
        return (System.nanoTime() - START_NANOS) / 1_000_000;
    }

    static void sleepUntil(long millis) {
        Threads.sleep(millis - millis());
    }
}
