package io.fireflyshed.standins.peer;

import io.fireflyshed.coordination.membership.MemberRecord;
import io.fireflyshed.coordination.membership.MemberState;
import io.fireflyshed.coordination.membership.MembershipMessage;
import io.fireflyshed.coordination.membership.MembershipSend;
import io.fireflyshed.coordination.membership.MembershipSettings;
import io.fireflyshed.coordination.membership.SwimMembership;
import io.fireflyshed.state.instance.AvailabilityZone;
import io.fireflyshed.state.peer.PeerId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.ToIntFunction;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Simulates processes that exchange membership messages over a network, in virtual time. Not thread
 * safe.
 */
public final class MembershipNetwork {

  private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long MAX_RANDOM_DELAY_NANOS = 40 * NANOS_PER_MILLI;

  /** An action that is due at a time; the sequence orders events that are due at the same time. */
  private record Event(long dueNanos, long sequence, Runnable action) {}

  /** One direction of a connection, between two processes or two availability zones. */
  private record Link(int from, int to) {}

  private final UniformRandomProvider random;
  private final MembershipSettings settings;
  private final ToIntFunction<MembershipMessage> messageSize;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<PeerId, Node> nodesById = new HashMap<>();
  private final Set<Link> cutZoneLinks = new HashSet<>();
  private final Set<Link> cutNodeLinks = new HashSet<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::dueNanos).thenComparing(Event::sequence));
  private long nowNanos;
  private long nextSequence;

  /** A simulated process. */
  private final class Node {

    private final int index;
    private final int zone;
    private final SwimMembership membership;
    private boolean isDead;
    private long pausedUntilNanos;
    private long bytesReceived;
    private long bytesSent;

    Node(int index, int zone) {
      this.index = index;
      this.zone = zone;
      this.membership = new SwimMembership(newRecord(index, zone), settings, random, nowNanos);
    }

    /** Runs an action unless this process is dead, after the pause if it is paused. */
    private void execute(Runnable action) {
      if (isDead) {
        return;
      }
      if (nowNanos < pausedUntilNanos) {
        scheduleAt(pausedUntilNanos, () -> execute(action));
        return;
      }
      action.run();
    }

    private void tick() {
      send(membership.onTick(nowNanos));
      scheduleAt(nowNanos + settings.tick().toNanos(), () -> execute(this::tick));
    }

    private void send(List<MembershipSend> sends) {
      for (MembershipSend send : sends) {
        Node receiver = nodesById.get(send.receiver());
        int bytes = messageSize.applyAsInt(send.message());
        bytesSent += bytes;
        boolean isLinkCut =
            cutZoneLinks.contains(new Link(zone, receiver.zone))
                || cutNodeLinks.contains(new Link(index, receiver.index));
        if (!isLinkCut) {
          long arrivalNanos = nowNanos + NANOS_PER_MILLI + random.nextLong(MAX_RANDOM_DELAY_NANOS);
          scheduleAt(
              arrivalNanos,
              () -> receiver.execute(() -> receiver.receive(this, send.message(), bytes)));
        }
      }
    }

    private void receive(Node sender, MembershipMessage message, int bytes) {
      bytesReceived += bytes;
      send(membership.onMessage(idOf(sender.index), message, nowNanos));
    }
  }

  /**
   * Creates a network of processes that know each other. A process is named by its index, starting
   * at 0; its availability zone is the index modulo the number of zones.
   *
   * @param seed the seed of all randomness
   * @param zones the number of availability zones, positive
   * @param processesPerZone the number of processes in each availability zone, positive
   * @param settings the settings of all processes, not null
   * @param messageSize computes the size of a message on the wire in bytes, not null
   */
  public MembershipNetwork(
      long seed,
      int zones,
      int processesPerZone,
      MembershipSettings settings,
      ToIntFunction<MembershipMessage> messageSize) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.settings = settings;
    this.messageSize = messageSize;
    for (int i = 0; i < zones * processesPerZone; i++) {
      Node node = new Node(i, i % zones);
      nodes.add(node);
      nodesById.put(idOf(i), node);
    }
    for (Node node : nodes) {
      nodes.stream()
          .filter(other -> other != node)
          .forEach(other -> node.membership.addSeed(newRecord(other.index, other.zone), nowNanos));
      scheduleAt(random.nextLong(settings.tick().toNanos()), () -> node.execute(node::tick));
    }
  }

  /**
   * Advances the virtual time and runs all events that are due by then.
   *
   * @param duration how far to advance the time, not null
   */
  public void run(Duration duration) {
    long endNanos = nowNanos + duration.toNanos();
    while (!events.isEmpty() && events.peek().dueNanos() <= endNanos) {
      Event event = events.poll();
      nowNanos = event.dueNanos();
      event.action().run();
    }
    nowNanos = endNanos;
  }

  /**
   * Stops a process permanently.
   *
   * @param index the index of the process
   */
  public void kill(int index) {
    nodes.get(index).isDead = true;
  }

  /**
   * Pauses a process. It receives the messages of that time after the pause.
   *
   * @param index the index of the process
   * @param duration the length of the pause, not null
   */
  public void pause(int index, Duration duration) {
    nodes.get(index).pausedUntilNanos = nowNanos + duration.toNanos();
  }

  /**
   * Drops all later messages from one availability zone to another, in this direction only.
   *
   * @param from the number of the availability zone of the senders, starting at 0
   * @param to the number of the availability zone of the receivers, starting at 0
   */
  public void cutZone(int from, int to) {
    cutZoneLinks.add(new Link(from, to));
  }

  /**
   * Drops all later messages from one process to another, in this direction only.
   *
   * @param from the index of the sender
   * @param to the index of the receiver
   */
  public void cut(int from, int to) {
    cutNodeLinks.add(new Link(from, to));
  }

  /** Restores all links. */
  public void heal() {
    cutZoneLinks.clear();
    cutNodeLinks.clear();
  }

  /**
   * Counts the other running processes that consider a process alive or suspected.
   *
   * @param subject the index of the process
   * @return the count
   */
  public int countBelievers(int subject) {
    PeerId id = idOf(subject);
    int count = 0;
    for (Node node : nodes) {
      boolean isListedLive = node.index != subject && node.membership.getLive().contains(id);
      count += !node.isDead && isListedLive ? 1 : 0;
    }
    return count;
  }

  /**
   * Counts the ordered pairs of running processes of which the first considers the second neither
   * alive nor suspected.
   *
   * @return the count
   */
  public int countFalseDeaths() {
    int count = 0;
    for (Node node : nodes) {
      if (!node.isDead) {
        int runningCount =
            (int) nodes.stream().filter(other -> !other.isDead && other != node).count();
        int listedCount =
            (int)
                nodes.stream()
                    .filter(other -> !other.isDead && other != node)
                    .filter(other -> node.membership.getLive().contains(idOf(other.index)))
                    .count();
        count += runningCount - listedCount;
      }
    }
    return count;
  }

  /**
   * Gets the number of bytes that a process has sent and received.
   *
   * @param index the index of the process
   * @return the sum of both
   */
  public long getBytes(int index) {
    return nodes.get(index).bytesReceived + nodes.get(index).bytesSent;
  }

  private void scheduleAt(long dueNanos, Runnable action) {
    events.add(new Event(dueNanos, nextSequence++, action));
  }

  private static PeerId idOf(int index) {
    return new PeerId(String.format("e%08d-0000-4000-8000-000000000000", index));
  }

  private static MemberRecord newRecord(int index, int zone) {
    String address = "10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256 + ":7400";
    AvailabilityZone zoneName = new AvailabilityZone("zone-" + zone);
    return new MemberRecord(idOf(index), address, zoneName, 1, MemberState.ALIVE);
  }
}
