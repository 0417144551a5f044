package org.azurearch.junit;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;

/** Finds and reads the files of the repository that the tests run in. */
public final class RepositoryFiles {
    private static final String LAUNCHER = "azurearch";

    private RepositoryFiles() {}

    /** Returns the root of the repository. */
    public static Path root() {
        Path folder = Path.of("").toAbsolutePath();
        while (!Files.exists(folder.resolve(LAUNCHER))) {
            folder =
                    Objects.requireNonNull(
                            folder.getParent(), "the tests run outside of the repository");
        }
        return folder;
    }

    /** Returns the text of a file. */
    public static String read(Path file) {
        try {
            return Files.readString(file);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Returns the main sources of all bundles, sorted. */
    public static List<Path> mainSources() {
        try (Stream<Path> files = Files.walk(root())) {
            return files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> file.toString().contains("/src/main/java/"))
                    .filter(file -> !file.toString().contains("/org.azurearch.thrift/"))
                    .sorted()
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
