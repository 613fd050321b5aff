package org.ploverspindle.controller;

import java.util.random.RandomGenerator;
import org.ploverspindle.cloud.CloudClient;
import org.ploverspindle.eventloop.RetryDelay;
import org.ploverspindle.eventloop.Scheduler;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.Replica;

/**
 * Loads the machine types into the catalogue. Without them the stored records can't be interpreted.
 */
final class MachineTypeLoader {
  private static final int MIN_RETRY_DELAY_MS = 1_000;
  private static final int RETRY_JITTER_MS = 1_000;

  private final Scheduler scheduler;
  private final CloudClient cloud;
  private final Replica replica;
  private final Catalogue catalogue;
  private final RetryDelay retryDelay;

  /**
   * @param random the source of the jitter of retries
   */
  MachineTypeLoader(
      Scheduler scheduler,
      CloudClient cloud,
      Replica replica,
      Catalogue catalogue,
      RandomGenerator random) {
    this.scheduler = scheduler;
    this.cloud = cloud;
    this.replica = replica;
    this.catalogue = catalogue;
    this.retryDelay = new RetryDelay(random, MIN_RETRY_DELAY_MS, RETRY_JITTER_MS);
  }

  boolean isLoaded() {
    return catalogue.hasMachineTypes();
  }

  /**
   * Loads the types from the record that an earlier leader stored, unless they are known already.
   */
  void loadFromReplica() {
    if (!catalogue.hasMachineTypes()) {
      MachineTypesRecord.read(replica).ifPresent(catalogue::update);
    }
  }

  /**
   * Requests the types from the cloud, and retries until they are known from the cloud or from the
   * replica.
   *
   * @param onLoaded is called once, after the first request to the cloud that ends with the types
   *     known
   */
  void loadFromCloud(Runnable onLoaded) {
    cloud.listMachineTypes(
        types -> {
          types.ifPresent(catalogue::update);
          if (catalogue.hasMachineTypes()) {
            onLoaded.run();
          } else {
            scheduler.schedule(retryDelay.nextMs(), () -> loadFromCloud(onLoaded));
          }
        });
  }
}
