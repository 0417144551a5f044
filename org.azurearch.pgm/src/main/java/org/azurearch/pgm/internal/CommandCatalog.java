package org.azurearch.pgm.internal;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import org.azurearch.pgm.Subcommand;
import org.azurearch.yaml.NameSuggester;

/** The commands registered in {@code META-INF/services}. */
public final class CommandCatalog {
    private final List<Subcommand> mCommands = new ArrayList<>();

    /** Loads the commands from the class path. */
    public CommandCatalog() {
        ServiceLoader.load(Subcommand.class).forEach(mCommands::add);
        mCommands.sort(Comparator.comparing(command -> command.declaration().name()));
    }

    /** Returns the commands, sorted by name. */
    public List<Subcommand> commands() {
        return List.copyOf(mCommands);
    }

    /** Returns the command with the given name, if there is one. */
    public Optional<Subcommand> find(String name) {
        return mCommands.stream().filter(c -> c.declaration().name().equals(name)).findFirst();
    }

    /** Returns the command name most similar to a mistyped one, if any is similar enough. */
    public Optional<String> nearest(String name) {
        return NameSuggester.suggest(
                name, mCommands.stream().map(command -> command.declaration().name()).toList());
    }
}
