package org.azurearch.admit;

import org.jspecify.annotations.Nullable;

/**
 * The decision on a call that was queued.
 *
 * @param call the call
 * @param refusal the reason if the call is refused, or null if it is admitted
 * @param <T> the type that stands for a call
 */
public record AdmissionEffect<T>(T call, @Nullable Refusal refusal) {}
