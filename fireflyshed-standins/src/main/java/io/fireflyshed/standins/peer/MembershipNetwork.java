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

/** Carries membership messages between many processes in virtual time. Not thread safe. */
public final class MembershipNetwork {

  private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long MAX_DELAY = 40 * MILLI;

  private record Event(long atNanos, long order, Runnable step) {}

  private record Link(int from, int to) {}

  private final UniformRandomProvider random;
  private final MembershipSettings settings;
  private final ToIntFunction<MembershipMessage> size;
  private final List<Node> nodes = new ArrayList<>();
  private final Map<PeerId, Node> byId = new HashMap<>();
  private final Set<Link> cutZones = new HashSet<>();
  private final Set<Link> cutNodes = new HashSet<>();
  private final PriorityQueue<Event> events =
      new PriorityQueue<>(Comparator.comparingLong(Event::atNanos).thenComparing(Event::order));
  private long now;
  private long nextOrder;

  /** One process. */
  private final class Node {

    private final int index;
    private final int zone;
    private final SwimMembership membership;
    private boolean isDead;
    private long pausedUntil;
    private long bytesIn;
    private long bytesOut;

    Node(int index, int zone) {
      this.index = index;
      this.zone = zone;
      this.membership = new SwimMembership(newRecord(index, zone), settings, random, now);
    }

    private void receive(Runnable step) {
      if (isDead) {
        return;
      }
      if (now < pausedUntil) {
        at(pausedUntil, () -> receive(step));
        return;
      }
      step.run();
    }

    private void tick() {
      send(membership.onTick(now));
      at(now + settings.tick().toNanos(), () -> receive(this::tick));
    }

    private void send(List<MembershipSend> sends) {
      for (MembershipSend send : sends) {
        Node to = byId.get(send.receiver());
        int bytes = size.applyAsInt(send.message());
        bytesOut += bytes;
        boolean isCut =
            cutZones.contains(new Link(zone, to.zone))
                || cutNodes.contains(new Link(index, to.index));
        if (!isCut) {
          long arrival = now + MILLI + random.nextLong(MAX_DELAY);
          at(arrival, () -> to.receive(() -> to.take(this, send.message(), bytes)));
        }
      }
    }

    private void take(Node from, MembershipMessage message, int bytes) {
      bytesIn += bytes;
      send(membership.onMessage(idOf(from.index), message, now));
    }
  }

  /**
   * Creates processes that know each other.
   *
   * @param seed the seed
   * @param zones the number of availability zones, positive
   * @param perZone the number of processes in each, positive
   * @param settings the settings, not null
   * @param size gets the size of a message on the wire in bytes, not null
   */
  public MembershipNetwork(
      long seed,
      int zones,
      int perZone,
      MembershipSettings settings,
      ToIntFunction<MembershipMessage> size) {
    this.random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    this.settings = settings;
    this.size = size;
    for (int i = 0; i < zones * perZone; i++) {
      Node node = new Node(i, i % zones);
      nodes.add(node);
      byId.put(idOf(i), node);
    }
    for (Node node : nodes) {
      nodes.stream()
          .filter(n -> n != node)
          .forEach(n -> node.membership.addSeed(newRecord(n.index, n.zone), now));
      at(random.nextLong(settings.tick().toNanos()), () -> node.receive(node::tick));
    }
  }

  /**
   * Lets time pass.
   *
   * @param duration how long, not null
   */
  public void run(Duration duration) {
    long end = now + duration.toNanos();
    while (!events.isEmpty() && events.peek().atNanos() <= end) {
      Event event = events.poll();
      now = event.atNanos();
      event.step().run();
    }
    now = end;
  }

  /**
   * Stops a process for good.
   *
   * @param index the process
   */
  public void kill(int index) {
    nodes.get(index).isDead = true;
  }

  /**
   * Pauses a process; messages to it wait.
   *
   * @param index the process
   * @param duration how long, not null
   */
  public void pause(int index, Duration duration) {
    nodes.get(index).pausedUntil = now + duration.toNanos();
  }

  /**
   * Cuts the messages from one availability zone to another.
   *
   * @param from the zone of the senders
   * @param to the zone of the receivers
   */
  public void cutZone(int from, int to) {
    cutZones.add(new Link(from, to));
  }

  /**
   * Cuts the messages from one process to another.
   *
   * @param from the sender
   * @param to the receiver
   */
  public void cut(int from, int to) {
    cutNodes.add(new Link(from, to));
  }

  /** Ends all cuts. */
  public void heal() {
    cutZones.clear();
    cutNodes.clear();
  }

  /**
   * Counts the running processes that believe another to be live.
   *
   * @param subject the other process
   * @return the count
   */
  public int countBelievers(int subject) {
    PeerId id = idOf(subject);
    int count = 0;
    for (Node node : nodes) {
      boolean isBeliever = node.index != subject && node.membership.getLive().contains(id);
      count += !node.isDead && isBeliever ? 1 : 0;
    }
    return count;
  }

  /**
   * Counts the pairs in which a running process believes another running process to be dead.
   *
   * @return the count
   */
  public int countFalseDeaths() {
    int count = 0;
    for (Node node : nodes) {
      if (!node.isDead) {
        int running = (int) nodes.stream().filter(n -> !n.isDead && n != node).count();
        int believed =
            (int)
                nodes.stream()
                    .filter(n -> !n.isDead && n != node)
                    .filter(n -> node.membership.getLive().contains(idOf(n.index)))
                    .count();
        count += running - believed;
      }
    }
    return count;
  }

  /**
   * Gets the bytes that a process sent and received.
   *
   * @param index the process
   * @return the sum
   */
  public long getBytes(int index) {
    return nodes.get(index).bytesIn + nodes.get(index).bytesOut;
  }

  private void at(long nanos, Runnable step) {
    events.add(new Event(nanos, nextOrder++, step));
  }

  private static PeerId idOf(int index) {
    return new PeerId(String.format("e%08d-0000-4000-8000-000000000000", index));
  }

  private static MemberRecord newRecord(int index, int zone) {
    String address = "10." + index / 65_536 + "." + index / 256 % 256 + "." + index % 256 + ":7400";
    AvailabilityZone name = new AvailabilityZone("zone-" + zone);
    return new MemberRecord(idOf(index), address, name, 1, MemberState.ALIVE);
  }
}
