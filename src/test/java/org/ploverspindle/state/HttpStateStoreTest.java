package org.ploverspindle.state;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.ploverspindle.net.HttpResult;

/** What the state service's answers mean. */
class HttpStateStoreTest {
  private static List<StateStore.ChangesResult> newsOf(HttpResult reply) {
    List<StateStore.ChangesResult> received = new ArrayList<>();
    new HttpStateStore((method, path, body, timeoutMs, then) -> then.accept(reply))
        .readChanges("x/", 7, received::add);
    return received;
  }

  /**
   * Changes have no size limit. A replica that was cut off for a minute in a busy deployment asked
   * for more than it may read, and asked again in the same way until the service had forgotten
   * them; meanwhile its controller was of no use.
   */
  @Test
  void changesThatAreTooManyToReadAreReadAsPages() {
    assertEquals(
        List.of(new StateStore.ChangesResult.TooOld()), newsOf(new HttpResult.TooLarge(1)));
    assertEquals(
        List.of(new StateStore.ChangesResult.TooOld()),
        newsOf(new HttpResult.Response(410, new byte[0])));
    assertEquals(
        List.of(new StateStore.ChangesResult.Failed()), newsOf(new HttpResult.NoResponse("lost")));
  }
}
