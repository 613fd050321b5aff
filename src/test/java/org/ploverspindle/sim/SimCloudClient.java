package org.ploverspindle.sim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.ploverspindle.cloud.CloudClient;
import org.ploverspindle.model.MachineType;

/** One controller's requests to the simulated cloud. */
final class SimCloudClient implements CloudClient {
  static final String CLOUD = "cloud";

  private static final long TIMEOUT_MS = 5_000;

  private final SimCloud cloud;
  private final SimLink link;

  SimCloudClient(SimCloud cloud, SimLink link) {
    this.cloud = cloud;
    this.link = link;
  }

  private <T> void request(
      Supplier<T> execute, T refusedResult, T timeoutResult, Consumer<T> then) {
    link.request(
        CLOUD,
        TIMEOUT_MS,
        reply -> reply.accept(cloud.admitsRequest() ? execute.get() : refusedResult),
        timeoutResult,
        then);
  }

  @Override
  public void listMachineTypes(Consumer<Optional<List<MachineType>>> then) {
    request(() -> Optional.of(cloud.types()), Optional.empty(), Optional.empty(), then);
  }

  @Override
  public void provision(
      String intentName,
      String type,
      String zone,
      boolean spot,
      int count,
      Consumer<ProvisionResult> then) {
    request(
        () -> cloud.provision(intentName, type, zone, spot, count),
        new ProvisionResult.Refused(),
        new ProvisionResult.Unknown(),
        then);
  }

  @Override
  public void terminate(List<String> hosts, Consumer<Boolean> then) {
    request(
        () -> {
          cloud.terminate(hosts, link.source());
          return true;
        },
        false,
        false,
        then);
  }

  @Override
  public void listMachines(String after, Consumer<Optional<MachinePage>> then) {
    request(() -> Optional.of(cloud.listMachines(after)), Optional.empty(), Optional.empty(), then);
  }
}
