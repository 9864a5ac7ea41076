package io.fireflyshed.bench.repair;

import io.fireflyshed.coordination.repair.RepairAction;
import io.fireflyshed.coordination.repair.RepairEvent;
import io.fireflyshed.state.instance.InstanceId;
import io.fireflyshed.state.replica.ReplicaId;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.OptionalLong;
import java.util.Set;

/** Takes each choice of one fabric domain from a script and notes how many ways there were. */
final class ScriptedPolicy implements RepairPolicy {

  private final List<Integer> script;
  private final int slots;
  private final List<Integer> ways = new ArrayList<>();
  private final Map<ReplicaId, InstanceId[]> places = new LinkedHashMap<>();
  private final Set<ReplicaId> confirmed = new HashSet<>();
  private final Set<InstanceId> up = new HashSet<>();
  private final Set<InstanceId> loaded = new HashSet<>();
  private final Set<InstanceId> loading = new HashSet<>();
  private boolean isWarm;

  ScriptedPolicy(List<Integer> script, int slots) {
    this.script = script;
    this.slots = slots;
  }

  /** Gets the number of ways at each choice that came up. */
  List<Integer> getWays() {
    return ways;
  }

  @Override
  public OptionalLong getNextDeadlineNanos() {
    return OptionalLong.empty();
  }

  @Override
  public List<RepairAction> handle(RepairEvent event) {
    isWarm = event.nowNanos() > 0;
    if (event instanceof RepairEvent.InstanceAdded added) {
      up.add(added.instance());
    } else if (event instanceof RepairEvent.ReplicaWanted wanted) {
      places.put(wanted.replica(), new InstanceId[wanted.size()]);
    } else if (event instanceof RepairEvent.InstanceLost lost) {
      up.remove(lost.instance());
      loading.remove(lost.instance());
    } else if (event instanceof RepairEvent.InstanceReturned returned) {
      up.add(returned.instance());
      if (!returned.isLoaded()) {
        loaded.remove(returned.instance());
      }
    } else if (event instanceof RepairEvent.ReplicaFormed formed) {
      confirmed.add(formed.replica());
    } else if (event instanceof RepairEvent.LoadFinished finished) {
      loading.remove(finished.instance());
      loaded.add(finished.instance());
    }
    List<RepairAction> actions = new ArrayList<>();
    chooseRepair(actions);
    chooseLoads(actions);
    return actions;
  }

  private int choose(int count) {
    if (!isWarm || count == 1) {
      return count - 1;
    }
    int index = ways.size();
    ways.add(count);
    return index < script.size() ? script.get(index) : 0;
  }

  private void chooseRepair(List<RepairAction> actions) {
    List<ReplicaId> options =
        places.keySet().stream()
            .filter(r -> getAbsent(r) > 0 && getDonors(r).size() >= getAbsent(r))
            .toList();
    int chosen = choose(options.size() + 1);
    if (chosen < options.size()) {
      fill(options.get(chosen), actions);
    } else if (!isWarm && !options.isEmpty()) {
      fill(options.get(0), actions);
    }
  }

  private void fill(ReplicaId replica, List<RepairAction> actions) {
    List<InstanceId> donors = getDonors(replica);
    InstanceId[] members = places.get(replica);
    for (int i = 0; i < members.length; i++) {
      if (members[i] == null || !up.contains(members[i])) {
        InstanceId donor = donors.remove(0);
        takeFromOthers(donor, actions);
        loaded.remove(members[i]);
        members[i] = donor;
        loaded.remove(donor);
        loading.remove(donor);
      }
    }
    confirmed.remove(replica);
    actions.add(new RepairAction.SetMembers(replica, List.of(members)));
  }

  private void takeFromOthers(InstanceId donor, List<RepairAction> actions) {
    places.forEach(
        (replica, members) -> {
          int position = Arrays.asList(members).indexOf(donor);
          if (position >= 0) {
            members[position] = null;
            confirmed.remove(replica);
            actions.add(new RepairAction.Dissolve(replica));
          }
        });
  }

  private List<InstanceId> getDonors(ReplicaId replica) {
    Set<InstanceId> assigned = new HashSet<>();
    places.values().forEach(m -> assigned.addAll(Arrays.asList(m)));
    List<InstanceId> donors = new ArrayList<>();
    up.stream()
        .filter(i -> !assigned.contains(i))
        .sorted((a, b) -> a.value().compareTo(b.value()))
        .forEach(donors::add);
    places.forEach(
        (other, members) -> {
          if (!other.equals(replica) && getAbsent(other) > 0) {
            Arrays.stream(members).filter(up::contains).forEach(donors::add);
          }
        });
    return donors;
  }

  private long getAbsent(ReplicaId replica) {
    return Arrays.stream(places.get(replica)).filter(m -> m == null || !up.contains(m)).count();
  }

  private void chooseLoads(List<RepairAction> actions) {
    while (loading.size() < slots) {
      List<RepairAction.StartLoad> options = new ArrayList<>();
      for (ReplicaId replica : places.keySet()) {
        if (confirmed.contains(replica)) {
          Arrays.stream(places.get(replica))
              .filter(Objects::nonNull)
              .filter(m -> up.contains(m) && !loaded.contains(m) && !loading.contains(m))
              .findFirst()
              .ifPresent(m -> options.add(new RepairAction.StartLoad(replica, m)));
        }
      }
      if (options.isEmpty()) {
        return;
      }
      RepairAction.StartLoad load = options.get(choose(options.size()));
      loading.add(load.member());
      actions.add(load);
    }
  }
}
