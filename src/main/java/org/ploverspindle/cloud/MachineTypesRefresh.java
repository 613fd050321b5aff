package org.ploverspindle.cloud;

import java.util.List;
import org.ploverspindle.model.Catalogue;
import org.ploverspindle.model.MachineType;
import org.ploverspindle.state.LeaderWriter;
import org.ploverspindle.state.MachineTypesRecord;
import org.ploverspindle.state.StateStore.Change;

/**
 * Keeps the catalogue of machine types up to date. Records it in the state service once in a term,
 * so that other controllers can validate jobs while the cloud cannot be reached.
 */
final class MachineTypesRefresh {
  private final CloudClient cloud;
  private final Catalogue catalogue;
  private final CloudCallBudget callBudget;
  private final LeaderWriter writer;
  private final int maxValueBytes;
  private boolean isRequestInFlight;
  private boolean isRecorded;

  /**
   * @param maxValueBytes the state service's limit for the size of one value
   */
  MachineTypesRefresh(
      CloudClient cloud,
      Catalogue catalogue,
      CloudCallBudget callBudget,
      LeaderWriter writer,
      int maxValueBytes) {
    this.cloud = cloud;
    this.catalogue = catalogue;
    this.callBudget = callBudget;
    this.writer = writer;
    this.maxValueBytes = maxValueBytes;
  }

  /** Requests the machine types, unless a request is in flight or the call budget is used up. */
  void run() {
    if (isRequestInFlight || !callBudget.tryTake()) {
      return;
    }
    isRequestInFlight = true;
    cloud.listMachineTypes(
        response -> {
          isRequestInFlight = false;
          response.ifPresent(this::update);
        });
  }

  private void update(List<MachineType> types) {
    catalogue.update(types);
    if (!isRecorded && writer.hasSpareBudget() && callBudget.isAuthoritative()) {
      isRecorded = true;
      writeInOrder(MachineTypesRecord.puts(catalogue.types(), maxValueBytes));
    }
  }

  /**
   * Sends the writes one after another. After a failed write, the rest is not sent, and the next
   * refresh records all machine types again.
   */
  private void writeInOrder(List<Change.Put> writes) {
    if (!writes.isEmpty()) {
      writer.writeBestEffort(
          writes.get(0),
          written -> {
            isRecorded = written;
            if (written) {
              writeInOrder(writes.subList(1, writes.size()));
            }
          });
    }
  }
}
