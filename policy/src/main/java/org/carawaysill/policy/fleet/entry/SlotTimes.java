package org.carawaysill.policy.fleet.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.carawaysill.model.identity.ServiceName;
import org.carawaysill.policy.message.PeerMessage.SlotTime;

/**
 * The slot time that a request and all calls on its behalf took, by service.
 *
 * <p>Not thread safe: owned by the policy.
 */
public final class SlotTimes {

    private final Map<ServiceName, Float> seconds = new HashMap<>();

    /**
     * Adds time at one service.
     *
     * @param service the service
     * @param more the time in seconds
     */
    public void add(ServiceName service, double more) {
        seconds.merge(service, (float) more, Float::sum);
    }

    /**
     * Adds the times of a call, including its own calls.
     *
     * @param times the times
     */
    public void addAll(List<SlotTime> times) {
        times.forEach(time -> add(time.service(), time.seconds()));
    }

    /**
     * Returns the times of all services.
     *
     * @return the times
     */
    public List<SlotTime> list() {
        List<SlotTime> times = new ArrayList<>(seconds.size());
        seconds.forEach((service, time) -> times.add(new SlotTime(service, time)));
        return times;
    }
}
