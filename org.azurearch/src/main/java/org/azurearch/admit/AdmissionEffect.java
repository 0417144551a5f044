package org.azurearch.admit;

import org.jspecify.annotations.Nullable;

/**
 * A later decision on a call that waited.
 *
 * @param call the call
 * @param refusal the reason when it is refused, or null when it is admitted
 * @param <T> the type that stands for a call
 */
public record AdmissionEffect<T>(T call, @Nullable Refusal refusal) {}
