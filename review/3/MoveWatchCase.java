import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The open channels between the routers and the store go silent. When all routers are in touch again, a roll-out of a bad
 * version is ordered. The case counts the requests that the bad version gets until the deadline of the order.
 */
public final class MoveWatchCase extends RollOutCase {
    private static final long CONTACT_MILLIS = 3_000;
    private static final long FRESH_NANOS = 1_500_000_000L;
    private static final double FAILURE_SHARE = 0.4;

    private final Deque<Long> moveWatches = new ArrayDeque<>();

    private MoveWatchCase() throws Exception {}

    public static void main(String[] args) throws Exception {
        new MoveWatchCase().runAndExit(args[0]);
    }

    @Override
    boolean play() throws Exception {
        store.listener = (method, target) -> {
            if (target.startsWith("/objects/rollouts?watch")) recordMoveWatch();
        };
        startFleet();
        awaitFreshMoveWatches();
        if (isTroubled) log("channels to the store that go silent: " + store.server.silenceOpenConnections());
        Thread.sleep(CONTACT_MILLIS + 200);
        log("all machines have been in touch for 0.2 s");
        order(FAILURE_SHARE);
        return isExposedTooFar();
    }

    private synchronized void recordMoveWatch() {
        moveWatches.addLast(System.nanoTime());
        if (moveWatches.size() > ROUTERS) moveWatches.removeFirst();
    }

    /** Waits until all routers have begun a watch of the orders a moment ago. */
    private void awaitFreshMoveWatches() throws Exception {
        long end = System.currentTimeMillis() + 30_000;
        while (true) {
            synchronized (this) {
                if (moveWatches.size() == ROUTERS && System.nanoTime() - moveWatches.getFirst() < FRESH_NANOS) return;
            }
            if (System.currentTimeMillis() > end) throw new NotRun("the routers don't watch the orders at about the same time");
            Thread.sleep(20);
        }
    }
}
