package org.carawaysill.standin.vmlist;

import io.vertx.core.json.DecodeException;
import io.vertx.core.json.JsonObject;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.carawaysill.model.identity.AvailabilityZone;
import org.carawaysill.model.identity.NodeName;
import org.carawaysill.model.vm.VmState;

/** Reads the VMs that are listed at the start. No state; thread safe. */
final class VmListFile {

    private VmListFile() {}

    /**
     * Reads a file.
     *
     * @param file a JSON file in the form of the answer to {@code GET /vms}
     * @return its VMs
     * @throws IllegalArgumentException if the file can't be read or has another form; the message is one line
     */
    static List<ListedVm> read(Path file) {
        try {
            JsonObject content = new JsonObject(Files.readString(file));
            var vms = content.getJsonArray("vms");
            return IntStream.range(0, vms.size())
                    .mapToObj(vms::getJsonObject)
                    .map(VmListFile::vm)
                    .toList();
        } catch (IOException e) {
            throw new IllegalArgumentException("can't read " + file, e);
        } catch (DecodeException | ClassCastException | NullPointerException | IllegalArgumentException e) {
            throw new IllegalArgumentException(
                    file + " must hold {\"vms\":[{\"name\",\"zone\",\"host\",\"state\"},...]}: " + e.getMessage(), e);
        }
    }

    private static ListedVm vm(JsonObject vm) {
        return new ListedVm(
                new NodeName(vm.getString("name")),
                new AvailabilityZone(vm.getString("zone")),
                vm.getString("host"),
                VmState.valueOf(vm.getString("state").toUpperCase(Locale.ROOT)));
    }
}
