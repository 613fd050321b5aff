package org.ploverspindle.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.ploverspindle.cluster.Heartbeat;
import org.ploverspindle.cluster.WorkerClient;
import org.ploverspindle.leases.FencingRejections;
import org.ploverspindle.model.Term;

/**
 * Checks that only a fencing token of a later term counts as a rejection. Guards against counting
 * tokens that this term raised for a single machine.
 */
class FencedWorkerClientTest {
  private static final Term TERM = new Term(Term.TOKENS_PER_TERM, 7, 0);

  @ParameterizedTest
  @CsvSource({"1048576, 0", "1048600, 0", "2097151, 0", "2097152, 1"})
  void onlyTokensOfLaterTermsCountAsRejections(long fencingToken, long expected) {
    FencingRejections rejections = new FencingRejections();
    Heartbeat heartbeat =
        new Heartbeat(
            "i-1", "", "t", "a", true, 1, 1, fencingToken, OptionalDouble.empty(), List.of());
    WorkerClient workers =
        (address, token, workerEpoch, commands, callback) ->
            callback.accept(Optional.of(heartbeat));
    new FencedWorkerClient(workers, TERM, rejections)
        .send("", TERM.fencingToken(), 1, List.of(), result -> {});
    assertEquals(expected, rejections.count(FencingRejections.Kind.WORKER_COMMAND));
  }
}
